#include <LibFleet/InFlightHistory.h>

namespace Dogwoodkeel
{

void InFlightHistory::record(std::uint32_t inFlight, SteadyTime now)
{
    if (now - this->ring[this->newest].since >= resolution) {
        this->newest = (this->newest + 1) % samples;
        this->ring[this->newest].since = now;
    }
    this->ring[this->newest].inFlight = inFlight;
}

std::uint32_t InFlightHistory::at(SteadyTime when) const
{
    for (std::size_t back = 0; back < samples; ++back) {
        const Sample &sample = this->ring[(this->newest + samples - back) % samples];
        if (sample.since <= when) {
            return sample.inFlight;
        }
    }
    return this->ring[(this->newest + 1) % samples].inFlight;
}

} // namespace Dogwoodkeel
