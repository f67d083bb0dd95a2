#include <LibMembership/Suspicion.h>

#include <cmath>

namespace Dogwoodkeel
{

Suspicion::Suspicion(SteadyTime since, SessionNumber accuser, Options options) : since(since), options(options), accusers{accuser}
{
}

bool Suspicion::confirm(SessionNumber accuser)
{
    return this->accusers.size() <= this->options.expected && this->accusers.insert(accuser).second;
}

SteadyTime Suspicion::deadline() const
{
    if (this->options.expected == 0) {
        return this->since + this->options.shortest;
    }
    const auto confirmations = static_cast<double>(this->accusers.size() - 1);
    const double share = std::log(confirmations + 1) / std::log(static_cast<double>(this->options.expected) + 1);
    const std::chrono::duration<double, std::milli> span = this->options.longest - this->options.shortest;
    return this->since + this->options.longest - std::chrono::duration_cast<std::chrono::milliseconds>(span * share);
}

void Suspicion::extend(std::chrono::milliseconds time)
{
    this->since += time;
}

} // namespace Dogwoodkeel
