#include <LibPlatform/CallBudget.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** What may be used at once after a quiet time; a second's worth would let all nodes together exceed the limit at once. */
constexpr std::chrono::milliseconds burst{250};
/** Calls a second that a node may make however many nodes there are: a start or a takeover must come to an end. */
constexpr double leastShare = 2;

} // namespace

CallBudget::CallBudget(const Clock &clock, Rates rates) : clock(clock), rates(rates)
{
}

void CallBudget::setMembers(std::size_t members)
{
    const std::lock_guard lock(this->mutex);
    this->members = std::max<std::size_t>(1, members);
}

void CallBudget::setRates(Rates rates)
{
    const std::lock_guard lock(this->mutex);
    this->rates = rates;
}

std::optional<std::chrono::milliseconds> CallBudget::take(CallKind kind, std::chrono::milliseconds longestWait)
{
    const std::lock_guard lock(this->mutex);
    const double rate = kind == CallKind::Read ? this->rates.readsPerSecond : this->rates.writesPerSecond;
    Pace &pace = kind == CallKind::Read ? this->reads : this->writes;
    const double share = std::max(leastShare, rate / static_cast<double>(this->members));
    const std::chrono::duration<double> step(1 / share);
    const SteadyTime now = this->clock.now();
    pace.next = std::max(pace.next, now - burst);
    const SteadyTime mine = pace.next;
    if (mine > now + longestWait) {
        return std::nullopt;
    }
    pace.next += std::chrono::duration_cast<SteadyTime::duration>(step);
    return mine <= now ? std::chrono::milliseconds(0) : std::chrono::ceil<std::chrono::milliseconds>(mine - now);
}

} // namespace Dogwoodkeel
