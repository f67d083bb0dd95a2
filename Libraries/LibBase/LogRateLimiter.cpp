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
        this->ordinary = 0;
        this->urgent = 0;
    }
    std::uint32_t &used = priority == Priority::Urgent ? this->urgent : this->ordinary;
    const std::uint32_t limit = priority == Priority::Urgent ? this->limits.urgent : this->limits.ordinary;
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

std::uint64_t LogRateLimiter::takeDropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace Dogwoodkeel
