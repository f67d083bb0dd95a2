#include <LibDispatch/OverloadControl.h>

#include <LibBase/Log.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/**
 * A late request that is unlikely to get a slot is refused after this fraction (1/lateRefusalDivisor) of its caller's
 * timeout, so that the caller has time left to retry.
 */
constexpr int lateRefusalDivisor = 3;
/**
 * Minimum share of a service's capacity that is unused in the long run if an overload is only a burst; with less, the
 * overload is sustained.
 */
constexpr double minSpareShare = 0.05;
/** A flood causes a thousand refusals per second; a line for each would take the processor time of a small VM. */
constexpr std::chrono::seconds shareLogInterval{1};

} // namespace

OverloadControl::OverloadControl(const Clock &clock, WaitingQueue &waiting) : clock(clock), waiting(waiting), forecast(clock)
{
}

void OverloadControl::setSlots(std::size_t slots)
{
    this->forecast.setSlots(slots);
}

bool OverloadControl::admit(PlacementRequest &request)
{
    if (request.cost == 0) {
        const WorkEstimate &estimate = request.work == WorkClass::Online ? this->onlineWork : this->batchWork;
        request.cost = static_cast<std::uint32_t>(estimate.meanCost());
    }
    if (request.work != WorkClass::Online || !request.mayRefuse) {
        return false;
    }
    const std::optional<RetrySchedule::Retry> retry = this->retries.extract(request.content);
    if (!retry) {
        this->forecast.recordArrival();
        return false;
    }
    // A retry with reserved capacity is served before all later arrivals and is not refused again. A retry without goes
    // behind the requests that can be on time, because it would make them late in its place.
    request.arrived = std::min(request.arrived, retry->arrived);
    request.mayRefuse = retry->mayRefuse;
    request.isReserved = retry->isReserved;
    if (!retry->isReserved) {
        request.due = this->clock.now() - std::chrono::milliseconds(1);
    }
    return true;
}

std::optional<std::chrono::nanoseconds> OverloadControl::refuseNew(TicketId id, bool isRetry)
{
    this->forecast.recordWaiting(this->waiting.isAnyOnTime());
    const WaitingQueue::Waiting *const waiting = this->waiting.find(id);
    if (waiting == nullptr || !waiting->request.mayRefuse || this->forecast.serviceRate() <= 0) {
        return std::nullopt;
    }
    const PlacementRequest &request = waiting->request;
    const std::optional<std::chrono::nanoseconds> retryAfter = this->refuseIfLate(request);
    return retryAfter || isRetry ? retryAfter : this->refuseIfOverShare(request);
}

std::optional<std::chrono::nanoseconds> OverloadControl::refuseIfLate(const PlacementRequest &request)
{
    const SteadyTime now = this->clock.now();
    const std::chrono::duration<double> wait = this->expectedWait(request, this->forecast.serviceRate());
    const SteadyTime latest = now + (request.deadline - now) / retryAfterDivisor;
    const std::optional<SteadyTime> burstEnd = this->forecast.burstEnd();
    // A retry within the same burst would take the slot of a request that can still be on time. Serving this one late
    // after the burst costs less.
    if (now + wait <= request.due || !burstEnd || *burstEnd > latest) {
        return std::nullopt;
    }
    const SteadyTime earliest = std::max(*burstEnd, now + (latest - now) / 2);
    const std::optional<SteadyTime> retryAt = this->retries.reserve(request.content,
                                                                    request.arrived,
                                                                    earliest,
                                                                    latest,
                                                                    this->forecast.spareCapacity(),
                                                                    request.workspace,
                                                                    this->reservableShare(request));
    return retryAt ? std::optional<std::chrono::nanoseconds>(*retryAt - now) : std::nullopt;
}

std::optional<std::chrono::nanoseconds> OverloadControl::refuseIfOverShare(const PlacementRequest &request)
{
    const SteadyTime now = this->clock.now();
    const auto ownWait = this->ownWait(request, this->forecast.serviceRate());
    if (!ownWait || request.work != WorkClass::Online || now > request.due || now + *ownWait <= request.due) {
        return std::nullopt;
    }
    // Debt alone is no reason: while nothing of the workspace waits, the next free slot may well be for it.
    const bool isContended = this->waiting.sharesOf(request.work, request.priority).isContended(request.workspace);
    if (!isContended || !this->waiting.hasOwnAhead(request)) {
        return std::nullopt;
    }
    const auto wait = std::chrono::ceil<std::chrono::nanoseconds>(*ownWait);
    const std::chrono::nanoseconds retryAfter
        = std::min<std::chrono::nanoseconds>(wait, (request.deadline - now) / retryAfterDivisor);
    this->retries.expect(request.content, request.arrived, now + retryAfter, false);
    ++this->shareRefusalCount;
    this->logShareRefusal(request, wait, retryAfter);
    return retryAfter;
}

void OverloadControl::logShareRefusal(const PlacementRequest &request,
                                      std::chrono::nanoseconds wait,
                                      std::chrono::nanoseconds retryAfter)
{
    const SteadyTime now = this->clock.now();
    if (now < this->nextShareLog) {
        return;
    }
    this->nextShareLog = now + shareLogInterval;
    log(LogLevel::Info,
        "requests refused, their workspace is over its share",
        {{"workspace", request.workspace.value()},
         {"ticket", static_cast<std::int64_t>(request.id.number)},
         {"priority", static_cast<std::int64_t>(request.priority)},
         {"wait_ms", std::chrono::ceil<std::chrono::milliseconds>(wait).count()},
         {"retry_after_ms", std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count()},
         {"refused", static_cast<std::int64_t>(this->shareRefusalCount)}});
}

std::chrono::duration<double> OverloadControl::expectedWait(const PlacementRequest &request, double rate) const
{
    const std::chrono::duration<double> wait(static_cast<double>(this->waiting.onTimeAhead(request.priority)) / rate);
    const auto ownWait = this->ownWait(request, rate);
    if (!ownWait) {
        return wait;
    }
    // Of the others only what their shares allow is served before it.
    const std::chrono::duration<double> others(static_cast<double>(this->waiting.withinShareAhead(request.priority)) / rate);
    return std::min(wait, *ownWait + others);
}

std::optional<std::chrono::duration<double>> OverloadControl::ownWait(const PlacementRequest &request, double rate) const
{
    if (!this->waiting.isShared() || this->onlineWork.meanCost() <= 0) {
        return std::nullopt;
    }
    const std::size_t moreUrgent = request.priority > 0 ? this->waiting.onTimeAhead(request.priority - 1) : 0;
    const double share = this->waiting.sharesOf(request.work, request.priority).shareOf(request.workspace, request.weight);
    const double ahead = this->waiting.ownExcess(request) / this->onlineWork.meanCost() / share;
    return std::chrono::duration<double>((ahead + static_cast<double>(moreUrgent)) / rate);
}

double OverloadControl::reservableShare(const PlacementRequest &request) const
{
    return this->waiting.isShared()
        ? this->waiting.sharesOf(request.work, request.priority).shareOf(request.workspace, request.weight)
        : 1;
}

std::vector<OverloadControl::Refusal> OverloadControl::refuseUnplaceable()
{
    // Late requests are served after a burst; only under sustained overload they are not. A dispatcher that has not
    // observed the load for long enough assumes a sustained overload: the refused requests then retry within a third of
    // their remaining time.
    const double rate = this->forecast.serviceRate();
    if (rate <= 0 || this->forecast.spareCapacity() > rate * minSpareShare) {
        return {};
    }
    const SteadyTime now = this->clock.now();
    const double latePlacementRate = this->forecast.latePlacementRate();
    std::vector<Refusal> unplaceable;
    std::size_t ahead = 0;
    for (const auto &[key, waiting] : this->waiting.of(WorkClass::Online)) {
        const PlacementRequest &request = waiting.request;
        const bool isLate = std::get<1>(key);
        const bool hasWaitedLong = (now - request.arrived) * lateRefusalDivisor > request.deadline - request.arrived;
        const std::chrono::duration<double> remaining = request.deadline - now;
        ahead += isLate ? 1 : 0;
        if (isLate && request.mayRefuse && hasWaitedLong && static_cast<double>(ahead) > latePlacementRate * remaining.count()) {
            unplaceable.push_back({request, (request.deadline - now) / retryAfterDivisor});
            --ahead;
        }
    }
    for (const Refusal &refusal : unplaceable) {
        this->retries.expect(refusal.request.content, refusal.request.arrived, now + refusal.retryAfter);
    }
    return unplaceable;
}

void OverloadControl::tick()
{
    this->forecast.recordWaiting(this->waiting.isAnyOnTime());
    this->retries.removeExpired(this->clock.now());
}

OverloadControl::Charge OverloadControl::recordPlacement(const PlacementRequest &request)
{
    if (request.work == WorkClass::Online && this->clock.now() > request.due) {
        this->forecast.recordLatePlacement();
    }
    const WaitingQueue::Waiting *const waiting = this->waiting.find(request.id);
    if (waiting == nullptr || !waiting->isShared) {
        return {.work = request.work};
    }
    return {request.work, request.priority, request.workspace, request.weight, request.cost, waiting->startTag};
}

void OverloadControl::recordRun(const Charge &charge, PlacementVerdict verdict, std::chrono::nanoseconds holdTime, bool isStopped)
{
    const bool isFinished = verdict == PlacementVerdict::Finished;
    if (charge.work == WorkClass::Online && isFinished) {
        this->forecast.recordRun(holdTime);
    }
    if (charge.cost == 0) {
        return;
    }
    WorkEstimate &estimate = charge.work == WorkClass::Online ? this->onlineWork : this->batchWork;
    if (isFinished && !isStopped) {
        estimate.recordRun(charge.cost, holdTime);
    }
    const bool wasRun = isFinished || verdict == PlacementVerdict::Broken;
    const double workDone = estimate.meanCost() > 0 ? estimate.workOf(holdTime) : charge.cost;
    const double realCost = wasRun ? workDone : 0;
    this->waiting.sharesOf(charge.work, charge.priority)
        .correct(charge.workspace, charge.weight, charge.startTag, charge.cost, realCost);
}

std::size_t OverloadControl::shareRefusals() const
{
    return this->shareRefusalCount;
}

} // namespace Dogwoodkeel
