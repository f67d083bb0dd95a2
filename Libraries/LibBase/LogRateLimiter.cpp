#include <LibBase/LogRateLimiter.h>

#include <utility>

namespace Dogwoodkeel
{

LogRateLimiter::LogRateLimiter(const Clock &clock, Limits limits) : clock(clock), limits(limits)
{
}

bool LogRateLimiter::admit(Priority priority)
{
    const SteadyTime now = this->clock.now();
    if (now - this->windowStart >= std::chrono::seconds(1)) {
        this->windowStart = now;
        this->normalLines = 0;
        this->highPriorityLines = 0;
    }
    std::uint32_t &used = priority == Priority::High ? this->highPriorityLines : this->normalLines;
    const std::uint32_t limit = priority == Priority::High ? this->limits.highPriorityLines : this->limits.normalLines;
    if (used >= limit) {
        ++this->dropped;
        return false;
    }
    ++used;
    return true;
}

void LogRateLimiter::recordBlocked()
{
    ++this->dropped;
}

std::uint64_t LogRateLimiter::resetDropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace Dogwoodkeel
