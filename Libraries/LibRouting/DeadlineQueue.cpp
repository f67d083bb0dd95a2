#include <LibRouting/DeadlineQueue.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Dogwoodkeel
{

namespace
{

constexpr double serviceWeight = 0.05;
/**
 * A request that is started but not finished in time is wasted work, so the estimate allows for service times above the
 * mean.
 */
constexpr double deviationMargin = 2;
/** Number of placements from which the measured rate is used. */
constexpr double minPlacements = 4;

double seconds(SteadyTime::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

DeadlineQueue::DeadlineQueue(const Clock &clock, Options options) : clock(clock), options(options)
{
}

DeadlineQueue::Offer DeadlineQueue::offer(Ticket ticket, SteadyTime deadline)
{
    const Entry entry{deadline, ticket};
    const auto ahead = static_cast<std::size_t>(std::distance(this->entries.begin(), this->entries.lower_bound(entry)));
    if (this->isInfeasible(deadline, ahead)) {
        return {};
    }
    Offer offer{.isQueued = true};
    if (this->entries.size() >= this->options.maxSize) {
        const auto last = std::prev(this->entries.end());
        if (*last < entry) {
            return {};
        }
        offer.displaced = last->second;
        this->deadlines.erase(last->second);
        this->entries.erase(last);
    }
    this->entries.insert(entry);
    this->deadlines.emplace(ticket, deadline);
    return offer;
}

std::optional<DeadlineQueue::Ticket> DeadlineQueue::pop()
{
    if (this->entries.empty()) {
        return std::nullopt;
    }
    const Ticket ticket = this->entries.begin()->second;
    this->remove(ticket);
    return ticket;
}

void DeadlineQueue::remove(Ticket ticket)
{
    if (const auto found = this->deadlines.find(ticket); found != this->deadlines.end()) {
        this->entries.erase({found->second, ticket});
        this->deadlines.erase(found);
    }
}

std::vector<DeadlineQueue::Ticket> DeadlineQueue::removeInfeasible()
{
    std::vector<Ticket> infeasible;
    std::size_t requestsAhead = 0;
    for (const auto &[deadline, ticket] : this->entries) {
        if (this->isInfeasible(deadline, requestsAhead)) {
            infeasible.push_back(ticket);
        } else {
            ++requestsAhead;
        }
    }
    for (const Ticket ticket : infeasible) {
        this->remove(ticket);
    }
    return infeasible;
}

void DeadlineQueue::recordPlacement()
{
    const SteadyTime now = this->clock.now();
    if (this->recentPlacements < 1) {
        this->busySince = now;
    }
    this->recentPlacements
        = this->recentPlacements * std::exp(-seconds(now - this->lastPlacement) / seconds(this->options.decayTime)) + 1;
    this->lastPlacement = now;
}

void DeadlineQueue::recordServiceTime(std::chrono::microseconds service)
{
    const double observed = seconds(service);
    if (this->service == 0) {
        this->service = observed;
        return;
    }
    this->deviation += (std::abs(observed - this->service) - this->deviation) * serviceWeight;
    this->service += (observed - this->service) * serviceWeight;
}

double DeadlineQueue::ratePerSecond() const
{
    const double decayTime = seconds(this->options.decayTime);
    // During the first decay time the count covers only the time since the first placement.
    const double elapsedShare = 1 - std::exp(-std::max(seconds(this->clock.now() - this->busySince), 0.05) / decayTime);
    const double decayedPlacements
        = this->recentPlacements * std::exp(-seconds(this->clock.now() - this->lastPlacement) / decayTime);
    return this->recentPlacements < minPlacements ? 0 : decayedPlacements / (decayTime * elapsedShare);
}

std::chrono::milliseconds DeadlineQueue::waitBehind(std::size_t requestsAhead) const
{
    const double rate = this->ratePerSecond();
    if (rate <= 0) {
        return std::chrono::milliseconds(0);
    }
    constexpr double maxWaitSeconds = 3600;
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double>(std::min(maxWaitSeconds, static_cast<double>(requestsAhead) / rate)));
}

std::chrono::milliseconds DeadlineQueue::expectedWait() const
{
    return this->waitBehind(this->entries.size());
}

bool DeadlineQueue::isInfeasible(SteadyTime deadline, std::size_t requestsAhead) const
{
    const auto service = std::chrono::duration_cast<SteadyTime::duration>(
        std::chrono::duration<double>(this->service + deviationMargin * this->deviation));
    return this->clock.now() + this->waitBehind(requestsAhead) + service > deadline;
}

std::size_t DeadlineQueue::size() const
{
    return this->entries.size();
}

} // namespace Dogwoodkeel
