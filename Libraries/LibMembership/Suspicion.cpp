#include <LibMembership/Suspicion.h>

#include <cmath>

namespace Dogwoodkeel
{

Suspicion::Suspicion(SteadyTime since, SessionNumber suspectingMember, Options options)
    : since(since), options(options), suspectingMembers{suspectingMember}
{
}

bool Suspicion::confirm(SessionNumber suspectingMember)
{
    return this->suspectingMembers.size() <= this->options.expectedConfirmations
        && this->suspectingMembers.insert(suspectingMember).second;
}

SteadyTime Suspicion::deadline() const
{
    if (this->options.expectedConfirmations == 0) {
        return this->since + this->options.minTimeout;
    }
    const auto confirmations = static_cast<double>(this->suspectingMembers.size() - 1);
    const double share = std::log(confirmations + 1) / std::log(static_cast<double>(this->options.expectedConfirmations) + 1);
    const std::chrono::duration<double, std::milli> span = this->options.maxTimeout - this->options.minTimeout;
    return this->since + this->options.maxTimeout - std::chrono::duration_cast<std::chrono::milliseconds>(span * share);
}

void Suspicion::extend(std::chrono::milliseconds time)
{
    this->since += time;
}

} // namespace Dogwoodkeel
