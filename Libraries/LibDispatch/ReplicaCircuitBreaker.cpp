#include <LibDispatch/ReplicaCircuitBreaker.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How long a full replica takes to free a slot: about a tenth of a short answer. */
constexpr std::chrono::milliseconds rejectedPause{50};
/**
 * A lost connection may be caused by one request, so a replica is blocked only after this number of consecutive
 * failures.
 */
constexpr int disconnectsToBlock = 2;
constexpr std::chrono::milliseconds initialPause{200};
/** Replicas restart within some seconds after a crash; a much longer pause would leave them idle. */
constexpr std::chrono::milliseconds maxPause{1600};
/** How long the outcome of a probe request is awaited before the next request may probe the replica. */
constexpr std::chrono::milliseconds probeTimeout{400};
/** Weight of one answer in the share of errors; about the last six count. */
constexpr double errorWeight = 0.15;
/** Blocked from this share on: three errors in a row, or about four of eight answers. Single requests that always fail are not
 * that many. */
constexpr double maxErrorShare = 0.38;
/** A replica whose probe succeeds is used again, but a further error blocks it soon. */
constexpr double errorShareAfterProbe = 0.2;

/** The share of errors halves in this time without answers, so that a replica that gets no requests is tried again. */
constexpr std::chrono::seconds errorHalfLife{1};
/** A smaller share counts as none. */
constexpr double negligibleShare = 0.02;

} // namespace

bool ReplicaCircuitBreaker::maySend(SteadyTime now) const
{
    return now >= this->blockedUntil;
}

std::optional<SteadyTime> ReplicaCircuitBreaker::maySendAt(SteadyTime now) const
{
    return this->maySend(now) ? std::nullopt : std::optional(this->blockedUntil);
}

void ReplicaCircuitBreaker::recordSent(SteadyTime now)
{
    if (this->failures >= disconnectsToBlock || this->errorBlocks > 0) {
        this->block(probeTimeout, now);
    }
}

void ReplicaCircuitBreaker::recordEnd(PlacementVerdict verdict, SteadyTime now)
{
    switch (verdict) {
    case PlacementVerdict::Finished:
        this->failures = 0;
        this->blockedUntil = {};
        this->recentErrors = (1 - errorWeight) * this->errorShare(now);
        this->lastAnswer = now;
        if (std::exchange(this->errorBlocks, 0) > 0) {
            this->recentErrors = errorShareAfterProbe;
        }
        return;
    case PlacementVerdict::Rejected:
        this->block(rejectedPause, now);
        return;
    case PlacementVerdict::Broken:
        if (++this->failures < disconnectsToBlock) {
            return;
        }
        break;
    case PlacementVerdict::Unreachable:
        this->failures = std::max(this->failures + 1, disconnectsToBlock);
        break;
    }
    const int doublings = std::min(this->failures - disconnectsToBlock, 3);
    this->block(std::min(initialPause * (1 << doublings), maxPause), now);
}

void ReplicaCircuitBreaker::recordError(bool mayBlock, SteadyTime now)
{
    this->failures = 0;
    this->recentErrors = errorWeight + (1 - errorWeight) * this->errorShare(now);
    this->lastAnswer = now;
    if (!mayBlock) {
        if (std::exchange(this->errorBlocks, 0) > 0) {
            this->blockedUntil = {};
        }
        return;
    }
    if (this->errorBlocks == 0 && this->recentErrors < maxErrorShare) {
        return;
    }
    const int doublings = std::min(this->errorBlocks, 3);
    ++this->errorBlocks;
    this->block(std::min(initialPause * (1 << doublings), maxPause), now);
}

double ReplicaCircuitBreaker::errorShare(SteadyTime now) const
{
    if (this->recentErrors == 0) {
        return 0;
    }
    const double share = std::ldexp(this->recentErrors, -static_cast<int>((now - this->lastAnswer) / errorHalfLife));
    return share < negligibleShare ? 0 : share;
}

std::optional<SteadyTime> ReplicaCircuitBreaker::nextChange(SteadyTime now) const
{
    const std::optional<SteadyTime> sendAt = this->maySendAt(now);
    if (this->errorShare(now) == 0) {
        return sendAt;
    }
    const SteadyTime next = this->lastAnswer + ((now - this->lastAnswer) / errorHalfLife + 1) * errorHalfLife;
    return sendAt ? std::min(*sendAt, next) : next;
}

bool ReplicaCircuitBreaker::isBlockedForErrors() const
{
    return this->errorBlocks > 0;
}

void ReplicaCircuitBreaker::block(std::chrono::milliseconds time, SteadyTime now)
{
    this->blockedUntil = std::max(this->blockedUntil, now + time);
}

} // namespace Dogwoodkeel
