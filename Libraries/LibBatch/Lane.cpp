#include <LibBatch/Lane.h>

#include <LibBase/Numbers.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Share of online requests that may start a step late because no slot was free. */
constexpr double lateShare = 0.01;
/** Max share of online requests that may find no free slot. */
constexpr double maxNoSlotShare = 0.5;
/** The ratio of their logarithms is about 19 to 1, so that the estimate settles where one in 20 reactions is slower. */
constexpr double reactionUp = 1.1;
constexpr double reactionDown = 0.995;
/** Max number of items without a first token while the replica gets online requests. */
constexpr std::uint32_t maxStartingItems = 1;
/** How long after its last online request a replica is expected to get more. */
constexpr std::chrono::milliseconds recentOnlineTime{10000};
/** Entries repeat a notice ten times a second while they have requests on the replica. */
constexpr std::chrono::milliseconds noticeTimeout{1000};
/** Consecutive reports without unknown streams that settle a lane. Reports are delayed, so one is not enough. */
constexpr std::uint32_t reportsToSettle = 3;
/** Reports after which an unsettled lane may start items in slots that no report shows as occupied. */
constexpr std::uint32_t reportsToStart = 2;
/** Consecutive reports with unknown streams that unsettle a lane. A single one may show streams that have just ended. */
constexpr std::uint32_t reportsToUnsettle = 3;
/** Excess streams that do not indicate another holder: requests start and end while a report is made. */
constexpr std::uint32_t toleratedStreams = 1;

} // namespace

Lane::Lane(const Clock &clock, const Options &options)
    : clock(clock)
    , options(options)
    , headroomEstimate(clock, options.reaction)
    , reaction(options.reaction)
    , reportsUntilSettled(reportsToSettle)
{
}

void Lane::configure(const Options &options)
{
    this->options = options;
}

void Lane::observeOnline(SessionNumber entry, std::uint64_t sequence, std::uint32_t inFlight)
{
    Notice &notice = this->notices[entry];
    if (sequence <= notice.sequence) {
        return;
    }
    this->onlineSum += inFlight - notice.inFlight;
    this->lastOnline = inFlight > 0 ? this->clock.now() : this->lastOnline;
    notice = {sequence, inFlight, this->clock.now()};
    this->headroomEstimate.observe(this->onlineSum);
}

void Lane::forget(SessionNumber entry)
{
    const auto found = this->notices.find(entry);
    if (found != this->notices.end()) {
        this->onlineSum -= found->second.inFlight;
        this->notices.erase(found);
        this->headroomEstimate.observe(this->onlineSum);
    }
}

void Lane::expireNotices()
{
    // A notice of zero requests is not repeated and may be lost; without the timeout its slots would stay reserved.
    const SteadyTime oldest = this->clock.now() - noticeTimeout;
    for (auto &[entry, notice] : this->notices) {
        if (notice.at < oldest && notice.inFlight > 0) {
            this->onlineSum -= notice.inFlight;
            notice.inFlight = 0;
        }
    }
}

void Lane::observeReport(const EngineLoad &report)
{
    const std::uint32_t known = this->items + this->onlineSum;
    const std::uint32_t reported = saturatingSum(report.running, report.queued);
    const std::uint32_t excessStreams = reported > known + toleratedStreams ? reported - known : 0;
    this->reportsWithUnknownStreams = excessStreams > 0 ? this->reportsWithUnknownStreams + 1 : 0;
    if (this->isSettled()) {
        if (this->reportsWithUnknownStreams < reportsToUnsettle) {
            return;
        }
        this->unsettle();
    }
    ++this->reportsSeen;
    // More than the capacity makes no difference, and must not wrap when it is added to other streams.
    this->unknownStreams = std::min(excessStreams, this->options.capacity);
    this->reportsUntilSettled = excessStreams > 0 ? reportsToSettle : this->reportsUntilSettled - 1;
}

void Lane::observeTokenGap(std::chrono::nanoseconds gap)
{
    this->stepModel.observe(gap, this->items + this->onlineSum);
}

void Lane::observeCancel(std::chrono::nanoseconds passed)
{
    if (!std::exchange(this->isReactionMeasured, true)) {
        this->reaction = passed;
    }
    this->updateReaction(passed);
}

void Lane::observeAnswer(std::chrono::nanoseconds passed)
{
    if (this->isReactionMeasured) {
        return;
    }
    if (!std::exchange(this->isAnswerMeasured, true)) {
        this->reaction = passed;
    }
    this->updateReaction(passed);
}

void Lane::updateReaction(std::chrono::nanoseconds passed)
{
    // The notice of a request takes about as long as the answer of the engine on its way back, so the measured time covers the
    // whole reaction. With large steps up and small steps down the estimate stays near the 95th percentile.
    const double step = passed > this->reaction ? reactionUp : reactionDown;
    this->reaction = std::chrono::duration_cast<std::chrono::nanoseconds>(this->reaction * step);
    this->headroomEstimate.setReaction(this->reaction);
}

double Lane::noSlotShare() const
{
    // A slot that is freed before the next step of the engine does not delay the request, which cannot start earlier anyway. So
    // of the requests without a free slot only those are late whose next step comes sooner than the reaction time.
    const auto step = this->stepModel.meanStep();
    const double late = step.count() > 0 ? static_cast<double>(this->reaction.count()) / static_cast<double>(step.count()) : 1;
    return std::clamp(lateShare / std::max(late, lateShare), lateShare, maxNoSlotShare);
}

void Lane::unsettle()
{
    this->reportsUntilSettled = reportsToSettle;
    this->reportsSeen = 0;
}

void Lane::settle()
{
    this->reportsUntilSettled = 0;
}

bool Lane::isSettled() const
{
    return this->reportsUntilSettled == 0;
}

void Lane::itemStarted()
{
    ++this->items;
    ++this->starting;
}

void Lane::itemGotFirstToken()
{
    --this->starting;
}

void Lane::itemStopped(bool proceeded)
{
    --this->items;
    this->starting -= proceeded ? 0 : 1;
}

bool Lane::hasRecentOnline() const
{
    return this->onlineSum > 0 || (this->lastOnline > SteadyTime() && this->clock.now() - this->lastOnline < recentOnlineTime);
}

std::uint32_t Lane::streamLimit() const
{
    if (this->onlineSum == 0) {
        return this->options.capacity;
    }
    const auto max = this->stepModel.maxStreams(this->onlineSum, this->options.slowdown);
    return std::min(this->options.capacity, max.value_or(this->options.capacity));
}

std::uint32_t Lane::freeSlots() const
{
    if (!this->isSettled() && this->reportsSeen < reportsToStart) {
        return 0;
    }
    std::uint32_t limit = this->options.capacity;
    std::uint32_t occupied = this->items + (this->isSettled() ? 0 : this->unknownStreams);
    switch (this->options.policy) {
    case LanePolicy::Yield:
        limit = this->streamLimit();
        occupied += this->onlineSum + this->headroom();
        break;
    case LanePolicy::FixedLimit:
        limit = std::min(limit, this->options.fixedLimit);
        break;
    case LanePolicy::Unlimited:
        break;
    }
    const std::uint32_t free = occupied < limit ? limit - occupied : 0;
    if (this->options.policy != LanePolicy::Yield || !this->hasRecentOnline()) {
        return free;
    }
    // An engine processes prompts in order of arrival. If all free slots were filled at once, the next online request would wait
    // for the prompts of all these items, which delayed its first token by up to half. Started one at a time, it waits for one.
    const std::uint32_t mayStart = this->starting < maxStartingItems ? maxStartingItems - this->starting : 0;
    return std::min(free, mayStart);
}

std::uint32_t Lane::excess() const
{
    if (this->options.policy != LanePolicy::Yield || this->onlineSum == 0) {
        return 0;
    }
    const std::uint32_t limit = this->streamLimit();
    const std::uint32_t headroom = this->headroom();
    const std::uint32_t occupied = this->onlineSum + this->items + (this->isSettled() ? 0 : this->unknownStreams);
    // Items stop only once more than half of the headroom is used; otherwise every single request would stop an item.
    if (occupied + headroom / 2 <= limit) {
        return 0;
    }
    return std::min(this->items, occupied + headroom - limit);
}

std::uint32_t Lane::running() const
{
    return this->items;
}

std::uint32_t Lane::online() const
{
    return this->onlineSum;
}

std::chrono::nanoseconds Lane::reactionTime() const
{
    return this->reaction;
}

std::uint32_t Lane::headroom() const
{
    // Limited to half of the capacity: a replica kept entirely free for bursts would run no batch items.
    return std::min(std::max(this->options.headroom, this->headroomEstimate.value(this->noSlotShare())),
                    this->options.capacity / 2);
}

} // namespace Dogwoodkeel
