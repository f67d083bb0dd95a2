#include <LibRouting/DeadlineQueue.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Dogwoodkeel
{

namespace
{

constexpr double serviceWeight = 0.05;
/** What is begun and then not finished in time is wasted: room is kept for service times above the mean. */
constexpr double deviationsKept = 2;
/** Places given before the rate is believed. */
constexpr double knownFrom = 4;

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
    const Place place{deadline, ticket};
    const auto ahead = static_cast<std::size_t>(std::distance(this->places.begin(), this->places.lower_bound(place)));
    if (this->isHopeless(deadline, ahead)) {
        return {};
    }
    Offer offer{.isQueued = true};
    if (this->places.size() >= this->options.maxSize) {
        const auto last = std::prev(this->places.end());
        if (*last < place) {
            return {};
        }
        offer.displaced = last->second;
        this->deadlines.erase(last->second);
        this->places.erase(last);
    }
    this->places.insert(place);
    this->deadlines.emplace(ticket, deadline);
    return offer;
}

std::optional<DeadlineQueue::Ticket> DeadlineQueue::take()
{
    if (this->places.empty()) {
        return std::nullopt;
    }
    const Ticket ticket = this->places.begin()->second;
    this->remove(ticket);
    return ticket;
}

void DeadlineQueue::remove(Ticket ticket)
{
    if (const auto found = this->deadlines.find(ticket); found != this->deadlines.end()) {
        this->places.erase({found->second, ticket});
        this->deadlines.erase(found);
    }
}

std::vector<DeadlineQueue::Ticket> DeadlineQueue::removeInfeasible()
{
    std::vector<Ticket> hopeless;
    std::size_t others = 0;
    for (const auto &[deadline, ticket] : this->places) {
        if (this->isHopeless(deadline, others)) {
            hopeless.push_back(ticket);
        } else {
            ++others;
        }
    }
    for (const Ticket ticket : hopeless) {
        this->remove(ticket);
    }
    return hopeless;
}

void DeadlineQueue::recordPlacement()
{
    const SteadyTime now = this->clock.now();
    if (this->given < 1) {
        this->busySince = now;
    }
    this->given = this->given * std::exp(-seconds(now - this->givenAt) / seconds(this->options.memory)) + 1;
    this->givenAt = now;
}

void DeadlineQueue::recordServiceTime(std::chrono::microseconds service)
{
    const double taken = seconds(service);
    if (this->service == 0) {
        this->service = taken;
        return;
    }
    this->deviation += (std::abs(taken - this->service) - this->deviation) * serviceWeight;
    this->service += (taken - this->service) * serviceWeight;
}

double DeadlineQueue::ratePerSecond() const
{
    const double memory = seconds(this->options.memory);
    // Until the memory has filled, the count stands for the time since the first place only.
    const double filled = 1 - std::exp(-std::max(seconds(this->clock.now() - this->busySince), 0.05) / memory);
    const double kept = this->given * std::exp(-seconds(this->clock.now() - this->givenAt) / memory);
    return this->given < knownFrom ? 0 : kept / (memory * filled);
}

std::chrono::milliseconds DeadlineQueue::waitBehind(std::size_t others) const
{
    const double rate = this->ratePerSecond();
    if (rate <= 0) {
        return std::chrono::milliseconds(0);
    }
    constexpr double longest = 3600;
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double>(std::min(longest, static_cast<double>(others) / rate)));
}

std::chrono::milliseconds DeadlineQueue::expectedWait() const
{
    return this->waitBehind(this->places.size());
}

bool DeadlineQueue::isHopeless(SteadyTime deadline, std::size_t others) const
{
    const auto service = std::chrono::duration_cast<SteadyTime::duration>(
        std::chrono::duration<double>(this->service + deviationsKept * this->deviation));
    return this->clock.now() + this->waitBehind(others) + service > deadline;
}

std::size_t DeadlineQueue::size() const
{
    return this->places.size();
}

} // namespace Dogwoodkeel
