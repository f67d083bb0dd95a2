#include <LibBase/ManualClock.h>
#include <LibDispatch/ReplicaIndex.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** Replicas in three failure domains with their index, and a linear search to compare it with. */
class Replicas
{
public:
    explicit Replicas(std::size_t count, bool isCapacityLearned = false)
        : index(this->clock), isCapacityLearned(isCapacityLearned)
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->put(number);
        }
    }

    void put(std::size_t number)
    {
        DispatchedReplica &replica = this->all[number];
        replica.number = number;
        replica.traits = {EndpointName("r" + std::to_string(number)), FailureDomain("z" + std::to_string(number % 3)), 4, false};
        replica.nameHash = nameHashOf(replica.traits.instance);
        replica.isCapacityLearned = this->isCapacityLearned;
        this->index.update(replica);
    }

    void remove(std::size_t number)
    {
        const auto found = this->all.find(number);
        if (found != this->all.end()) {
            this->index.remove(found->second);
            this->all.erase(found);
        }
    }

    /** Applies one of the state changes of a replica. */
    void change(DispatchedReplica &replica, int action, int amount)
    {
        const SteadyTime now = this->clock.now();
        const WorkClass work = amount % 2 == 0 ? WorkClass::Online : WorkClass::Batch;
        switch (action) {
        case 0:
            replica.slots.acquire(work);
            replica.lastFull = replica.hasFreeSlot(now) ? replica.lastFull : now;
            break;
        case 1:
            if ((work == WorkClass::Online ? replica.slots.online() : replica.slots.batch()) > 0) {
                replica.slots.release(work, now);
            }
            break;
        case 2:
            replica.slots.recordReport({static_cast<std::uint32_t>(amount), 0}, now);
            break;
        case 3:
            replica.breaker.recordEnd(amount % 2 == 0 ? PlacementVerdict::Broken : PlacementVerdict::Rejected, now);
            break;
        case 4:
            this->learn(replica, amount);
            break;
        default:
            replica.traits.isDraining = !replica.traits.isDraining;
        }
        this->index.update(replica);
    }

    /** Records something that changes what is learned of a replica. */
    void learn(DispatchedReplica &replica, int amount)
    {
        const SteadyTime now = this->clock.now();
        replica.speed.recordRun(0.5 + amount, static_cast<std::uint32_t>(amount * 60), now);
        replica.speed.recordPace(static_cast<std::uint32_t>(amount * 60), now);
        for (int run = 0; run < 10; ++run) {
            replica.concurrency.recordRun(
                amount > 3 && run % 4 > 1 ? 3 : 1, 1 + static_cast<std::uint32_t>(run % 4), {4, true}, now);
        }
        if (amount == 5) {
            replica.breaker.recordError(true, now);
        }
    }

    /** @return by what replicas are compared for the request. */
    double loadFor(const DispatchedReplica &replica, const PlacementRequest &request) const
    {
        const bool isUrgent = request.due > this->clock.now() && request.due - this->clock.now() < 1s;
        const bool isPatient = request.work == WorkClass::Batch && !isUrgent;
        return isPatient ? replica.itemLoad(this->clock.now()) : replica.load(this->clock.now());
    }

    /** @return whether a replica may receive the request now, judged by its own state alone. */
    bool isPossible(const DispatchedReplica &replica, const PlacementRequest &request) const
    {
        const SteadyTime now = this->clock.now();
        const bool isAvoided = std::ranges::find(request.avoided, replica.traits.instance) != request.avoided.end();
        return !isAvoided && replica.isOpen(now) && (request.work == WorkClass::Online || replica.mayAcceptItem(now));
    }

    /** @return whether the selected replica is possible, and none that differs from it in load alone has less load. */
    bool isBest(const DispatchedReplica *selected, const PlacementRequest &request) const
    {
        const auto isConnected = [&request](const DispatchedReplica &replica) {
            return std::ranges::find(request.connected, replica.nameHash) != request.connected.end();
        };
        return std::ranges::all_of(this->all, [&](const auto &entry) {
            const DispatchedReplica &other = entry.second;
            if (!this->isPossible(other, request)) {
                return selected != &other;
            }
            const bool isComparable = selected != nullptr && other.traits.failureDomain == selected->traits.failureDomain
                && isConnected(other) == isConnected(*selected);
            return selected != nullptr && (!isComparable || this->loadFor(other, request) >= this->loadFor(*selected, request));
        });
    }

    ManualClock clock;
    ReplicaIndex index;
    bool isCapacityLearned;
    std::map<std::size_t, DispatchedReplica> all;
};

} // namespace

// Guards against an outdated position in the index: a full replica would receive requests, or a free one none.
TEST_CASE("the index finds the same replica as a linear search after any changes")
{
    const bool holds = rc::check("the best replica is found", [] {
        const auto count = static_cast<std::size_t>(*rc::gen::inRange(1, 12));
        Replicas replicas(count, *rc::gen::arbitrary<bool>());
        for (int step = 0; step < 60; ++step) {
            const auto number = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(count)));
            const int action = *rc::gen::inRange(0, 9);
            if (action == 8) {
                replicas.clock.advance(std::chrono::milliseconds(*rc::gen::inRange(1, 900)));
            } else if (action == 7) {
                replicas.remove(number);
            } else if (!replicas.all.contains(number)) {
                replicas.put(number);
            } else {
                replicas.change(replicas.all.at(number), action, *rc::gen::inRange(0, 6));
            }
            PlacementRequest request;
            request.work = step % 2 == 0 ? WorkClass::Online : WorkClass::Batch;
            request.due = replicas.clock.now() + std::chrono::milliseconds(step % 4 < 2 ? 500 : 9000);
            request.failureDomain = FailureDomain("z" + std::to_string(step % 3));
            request.avoided = {EndpointName("r" + std::to_string(step % 5))};
            request.connected = {nameHashOf(EndpointName("r" + std::to_string(step % 7)))};
            replicas.index.refresh();
            RC_ASSERT(replicas.isBest(replicas.index.best(request), request));
        }
    });
    CHECK(holds);
}

TEST_CASE("a removed replica is found neither by its load nor by its connection")
{
    Replicas replicas(1);
    PlacementRequest request;
    request.connected = {nameHashOf(EndpointName("r0"))};
    REQUIRE(replicas.index.best(request) == &replicas.all.at(0));
    replicas.remove(0);
    CHECK(replicas.index.best(request) == nullptr);
    CHECK(replicas.index.isEmpty());
}
