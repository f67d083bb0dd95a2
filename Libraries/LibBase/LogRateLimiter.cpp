#include <LibBase/LogRateLimiter.h>

#include <utility>

namespace Dogwoodkeel
{

LogGate::LogGate(const Clock &clock, Limits limits) : clock(clock), limits(limits)
{
}

bool LogGate::admit(Weight weight)
{
    const SteadyTime now = this->clock.now();
    if (now - this->second >= std::chrono::seconds(1)) {
        this->second = now;
        this->ordinary = 0;
        this->grave = 0;
    }
    std::uint32_t &used = weight == Weight::Grave ? this->grave : this->ordinary;
    const std::uint32_t limit = weight == Weight::Grave ? this->limits.grave : this->limits.ordinary;
    if (used >= limit) {
        ++this->dropped;
        return false;
    }
    ++used;
    return true;
}

void LogGate::noteBlocked()
{
    ++this->dropped;
}

std::uint64_t LogGate::takeDropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace Dogwoodkeel
