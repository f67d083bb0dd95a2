#include <LibPlatform/CallBudget.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Unused budget that may be spent in a burst. With a full second, all nodes together could exceed the limit in a burst. */
constexpr std::chrono::milliseconds burst{250};
/** Calls per second that a node may make regardless of the number of nodes, so that a start or a takeover completes. */
constexpr double minShare = 2;

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

std::optional<std::chrono::milliseconds> CallBudget::acquire(CallKind kind, std::chrono::milliseconds maxWait)
{
    const std::lock_guard lock(this->mutex);
    const double rate = kind == CallKind::Read ? this->rates.readsPerSecond : this->rates.writesPerSecond;
    Pace &pace = kind == CallKind::Read ? this->reads : this->writes;
    const double share = std::max(minShare, rate / static_cast<double>(this->members));
    const std::chrono::duration<double> step(1 / share);
    const SteadyTime now = this->clock.now();
    pace.nextStart = std::max(pace.nextStart, now - burst);
    const SteadyTime start = pace.nextStart;
    if (start > now + maxWait) {
        return std::nullopt;
    }
    pace.nextStart += std::chrono::duration_cast<SteadyTime::duration>(step);
    return start <= now ? std::chrono::milliseconds(0) : std::chrono::ceil<std::chrono::milliseconds>(start - now);
}

} // namespace Dogwoodkeel
