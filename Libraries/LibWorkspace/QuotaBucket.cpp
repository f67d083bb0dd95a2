#include <LibWorkspace/QuotaBucket.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Retry time for workspaces with a quota of almost zero. */
constexpr std::chrono::seconds maxRetryAfter{60};

} // namespace

QuotaBucket::QuotaBucket(SteadyTime now, const RequestQuota &quota, double margin, double level)
    : limit(quota), margin(margin), tokens(std::min(level, quota.burst + margin)), filled(now), retryTimesGivenUntil(now)
{
}

double QuotaBucket::capacity() const
{
    return this->limit.burst * this->share + this->margin;
}

double QuotaBucket::level(SteadyTime now) const
{
    const std::chrono::duration<double> passed = std::max(now, this->filled) - this->filled;
    return std::min(this->capacity(), this->tokens + passed.count() * this->limit.perSecond * this->share);
}

void QuotaBucket::fill(SteadyTime now)
{
    this->tokens = this->level(now);
    this->filled = std::max(now, this->filled);
}

void QuotaBucket::setQuota(SteadyTime now, const RequestQuota &quota, double margin)
{
    this->fill(now);
    this->limit = quota;
    this->margin = margin;
    this->tokens = std::min(this->tokens, this->capacity());
}

void QuotaBucket::setShare(SteadyTime now, double share)
{
    this->fill(now);
    this->share = share;
    this->tokens = std::min(this->tokens, this->capacity());
}

void QuotaBucket::add(SteadyTime now, double tokens)
{
    this->fill(now);
    this->tokens = std::min(this->capacity(), this->tokens + tokens);
}

std::optional<std::chrono::milliseconds> QuotaBucket::tryAcquire(SteadyTime now)
{
    this->fill(now);
    if (this->tokens >= 1) {
        this->tokens -= 1;
        return std::nullopt;
    }
    const double rate = this->limit.perSecond * (this->share > 0 ? this->share : 1);
    const std::chrono::duration<double> maxSeconds = maxRetryAfter;
    const auto secondsFor = [rate, maxSeconds](double missing) {
        return std::chrono::duration<double>(rate > 0 ? std::min(missing / rate, maxSeconds.count()) : maxSeconds.count());
    };
    // Each refused request gets its own retry time. With a common one, all would retry at once and all but one would be refused.
    const SteadyTime tokenAvailable = now + std::chrono::duration_cast<SteadyTime::duration>(secondsFor(1 - this->tokens));
    const SteadyTime behindOthers = this->retryTimesGivenUntil + std::chrono::duration_cast<SteadyTime::duration>(secondsFor(1));
    this->retryTimesGivenUntil = std::min(std::max(tokenAvailable, behindOthers), now + maxRetryAfter);
    return std::chrono::ceil<std::chrono::milliseconds>(this->retryTimesGivenUntil - now);
}

bool QuotaBucket::isFull(SteadyTime now) const
{
    return this->level(now) >= this->capacity();
}

const RequestQuota &QuotaBucket::quota() const
{
    return this->limit;
}

} // namespace Dogwoodkeel
