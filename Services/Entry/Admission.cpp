#include <Services/Entry/Admission.h>

#include <LibRouting/ReplicaScore.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/**
 * How often the free slots of a pool are counted. Between two counts, requests that this node sends and completes are
 * subtracted and added.
 */
constexpr std::chrono::milliseconds countInterval{10};
/**
 * How often the queues are checked. Other nodes' requests free slots, and deadlines become infeasible, without an
 * event on this node.
 */
constexpr std::chrono::milliseconds tickInterval{10};

DeadlineQueue::Options queueOptions(const EntrySettings &settings)
{
    return {.maxSize = static_cast<std::size_t>(settings.queueLength)};
}

} // namespace

Admission::Pool::Pool(const Clock &clock, DeadlineQueue::Options options) : queue(clock, options)
{
}

Admission::Admission(EventLoop &loop, const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas)
    : loop(loop), clock(clock), settings(settings), replicas(replicas)
{
}

Admission::~Admission()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

Admission::Pool &Admission::poolOf(const std::string &serves)
{
    return this->pools.try_emplace(serves, this->clock, queueOptions(this->settings->entry)).first->second;
}

double Admission::countFreeSlots(const std::string &serves) const
{
    const SteadyTime now = this->clock.now();
    std::vector<Replica *> usable;
    for (Replica *const replica : this->replicas.of(serves)) {
        if (!replica->isLeaving && !replica->ejection.isEjected) {
            usable.push_back(replica);
        }
    }
    if (usable.empty()) {
        // Requests must not wait when all replicas are removed or leaving. Admitted ones are refused at once, or
        // tried on a replica of last resort.
        return std::numeric_limits<double>::infinity();
    }
    const FleetSettings &fleet = this->settings->fleet;
    const PoolMeans means = meansOf(usable, now, fleet);
    double freeSlots = 0;
    for (const Replica *const replica : usable) {
        freeSlots += std::max(
            0.0, replica->capacity * this->settings->entry.overcommit - estimatedRequests(*replica, means, now, fleet));
    }
    return freeSlots;
}

bool Admission::hasCapacity(const std::string &serves, Pool &pool)
{
    const SteadyTime now = this->clock.now();
    if (now - pool.countedAt >= countInterval) {
        pool.freeSlots = this->countFreeSlots(serves);
        pool.countedAt = now;
    }
    return pool.freeSlots >= 1;
}

Admission::Ticket Admission::enter(const std::string &serves, SteadyTime deadline, Hooks hooks)
{
    Pool &pool = this->poolOf(serves);
    const Ticket ticket = ++this->lastTicket;
    const bool isKnown = !this->replicas.of(serves).empty();
    if (!isKnown || (pool.queue.size() == 0 && this->hasCapacity(serves, pool))) {
        --pool.freeSlots;
        pool.queue.recordPlacement();
        hooks.run();
        return ticket;
    }
    const DeadlineQueue::Offer offer = pool.queue.offer(ticket, deadline);
    if (!offer.isQueued) {
        hooks.refuse(pool.queue.expectedWait());
        return ticket;
    }
    pool.hooks.emplace(ticket, std::move(hooks));
    if (offer.displaced) {
        this->refuse(pool, *offer.displaced);
    }
    if (this->timer == 0) {
        this->tick();
    }
    return ticket;
}

void Admission::refuse(Pool &pool, Ticket ticket)
{
    const auto hooks = pool.hooks.extract(ticket);
    if (!hooks.empty()) {
        hooks.mapped().refuse(pool.queue.expectedWait());
    }
}

void Admission::leave(const std::string &serves, Ticket ticket)
{
    Pool &pool = this->poolOf(serves);
    pool.queue.remove(ticket);
    pool.hooks.erase(ticket);
}

void Admission::served(const std::string &serves, std::chrono::microseconds service)
{
    Pool &pool = this->poolOf(serves);
    ++pool.freeSlots;
    pool.queue.recordServiceTime(service);
    if (pool.queue.size() > 0) {
        this->loop.post([this, serves, alive = this->alive] {
            if (*alive) {
                this->pump(serves);
            }
        });
    }
}

void Admission::pump(const std::string &serves)
{
    Pool &pool = this->poolOf(serves);
    for (const Ticket ticket : pool.queue.removeInfeasible()) {
        this->refuse(pool, ticket);
    }
    while (pool.queue.size() > 0 && this->hasCapacity(serves, pool)) {
        const auto hooks = pool.hooks.extract(*pool.queue.pop());
        --pool.freeSlots;
        pool.queue.recordPlacement();
        hooks.mapped().run();
    }
}

void Admission::tick()
{
    this->timer = 0;
    bool isWaiting = false;
    for (auto &[serves, pool] : this->pools) {
        if (pool.queue.size() > 0) {
            this->pump(serves);
            isWaiting = isWaiting || pool.queue.size() > 0;
        }
    }
    if (isWaiting) {
        this->timer = this->loop.schedule(tickInterval, [this] {
            this->tick();
        });
    }
}

std::size_t Admission::waiting(const std::string &serves) const
{
    const auto found = this->pools.find(serves);
    return found != this->pools.end() ? found->second.queue.size() : 0;
}

} // namespace Dogwoodkeel
