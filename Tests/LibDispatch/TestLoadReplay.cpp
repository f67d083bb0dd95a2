#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/LocalPlacement.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::uint32_t replicaCount = 9;
constexpr std::uint32_t slots = 8;
constexpr std::size_t nodeCount = 10;
constexpr std::chrono::milliseconds streamTime{770};
constexpr std::chrono::milliseconds objective{250};
constexpr std::chrono::milliseconds itemTime{5000};
constexpr std::chrono::milliseconds step{1};
/** Intervals of a node's periodic work. */
constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::chrono::milliseconds reportInterval{200};
constexpr std::chrono::milliseconds resubmitInterval{200};
constexpr std::chrono::seconds length{33};
/** Square bursts: 2.8 s of 6.6 s at 1.84 times the mean, the remainder at 0.377 times. */
constexpr std::chrono::milliseconds period{6600};
constexpr std::chrono::milliseconds burstStart{3800};
constexpr double burstFactor = 1.84;
constexpr double troughFactor = 0.377;

/** How the requests and items of one replay were served. */
struct Outcome
{
    double onTime = 0;
    /** Completed items, computed from the time that replicas spent on them. */
    double items = 0;
};

double factorAt(std::chrono::milliseconds time)
{
    return time % period >= burstStart ? burstFactor : troughFactor;
}

/** Arrivals in steps of a millisecond, reproducible by the seed. */
class Arrivals
{
public:
    Arrivals(double perSecond, unsigned seed) : perSecond(perSecond), random(seed)
    {
    }

    bool isDue(std::chrono::milliseconds time)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        return chance(this->random) < this->perSecond * factorAt(time) / 1000;
    }

private:
    double perSecond;
    std::minstd_rand random;
};

/** Whether running batch items may be preempted. */
enum class Preemption {
    Yes,
    No,
};

/** Replays bursts at one dispatcher, with batch items that always wait. */
Outcome replayDispatcher(double perSecond, Preemption preemption)
{
    ManualClock clock;
    std::map<std::uint64_t, SteadyTime> arrived;
    std::map<std::uint64_t, SteadyTime> itemStarts;
    std::multimap<SteadyTime, std::uint64_t> ends;
    std::vector<std::uint64_t> stops;
    std::map<std::uint64_t, RunningPlacement> running;
    std::map<std::uint64_t, PlacementRequest> waiting;
    std::size_t onTimeCount = 0;
    std::chrono::nanoseconds itemWork{0};
    Dispatcher dispatcher(clock,
                          {.place =
                               [&](TicketId id, const EndpointName &replica) {
                                   waiting.erase(id.number);
                                   running[id.number] = {id.number, replica, !arrived.contains(id.number)};
                                   const auto online = arrived.find(id.number);
                                   if (online != arrived.end()) {
                                       onTimeCount += clock.now() - online->second <= objective ? 1 : 0;
                                       ends.emplace(clock.now() + streamTime, id.number);
                                   } else {
                                       itemStarts[id.number] = clock.now();
                                       ends.emplace(clock.now() + itemTime, id.number);
                                   }
                               },
                           .stop =
                               [&](TicketId id) {
                                   stops.push_back(id.number);
                               },
                           .refuse = [](TicketId, std::chrono::milliseconds) {}});
    dispatcher.setReplicas(equalReplicas(replicaCount, slots));
    for (const DispatchReplica &replica : equalReplicas(replicaCount, slots)) {
        dispatcher.recordLoad(replica.instance, {});
    }
    std::uint64_t lastTicket = 0;
    const auto submit = [&](WorkClass work) {
        PlacementRequest request;
        request.id = {SessionNumber(1), ++lastTicket};
        request.work = work;
        request.arrived = clock.now();
        // Items without slack are never stopped.
        const bool mayWait = work == WorkClass::Batch && preemption == Preemption::Yes;
        request.due = clock.now() + (mayWait ? std::chrono::milliseconds(10000) : objective);
        request.deadline = clock.now() + std::chrono::hours(1);
        if (work == WorkClass::Online) {
            arrived[lastTicket] = clock.now();
        }
        waiting[lastTicket] = request;
        dispatcher.submit(request);
    };
    const auto endRun = [&](std::uint64_t number) {
        running.erase(number);
        const auto item = itemStarts.find(number);
        if (item != itemStarts.end()) {
            itemWork += clock.now() - item->second;
            itemStarts.erase(item);
        }
    };
    Arrivals arrivals(perSecond, 7);
    for (std::chrono::milliseconds time{0}; time < length; time += step) {
        clock.advance(step);
        for (auto end = ends.begin(); end != ends.end() && end->first <= clock.now(); end = ends.erase(end)) {
            endRun(end->second);
            dispatcher.end({SessionNumber(1), end->second}, PlacementVerdict::Finished);
        }
        for (const std::uint64_t number : std::exchange(stops, {})) {
            endRun(number);
            std::erase_if(ends, [number](const auto &end) {
                return end.second == number;
            });
            dispatcher.end({SessionNumber(1), number}, PlacementVerdict::Finished);
        }
        if (arrivals.isDue(time)) {
            submit(WorkClass::Online);
        }
        while (dispatcher.load().batchWaiting < 5) {
            submit(WorkClass::Batch);
        }
        if (time % tickInterval == std::chrono::milliseconds(0)) {
            dispatcher.tick();
        }
        if (time % reportInterval == std::chrono::milliseconds(0)) {
            std::vector<RunningPlacement> report;
            report.reserve(running.size());
            for (const auto &[number, placement] : running) {
                report.push_back(placement);
            }
            dispatcher.reconcile(SessionNumber(1), lastTicket, report);
        }
        // Like a node, submits the waiting requests again.
        if (time % resubmitInterval == std::chrono::milliseconds(0)) {
            std::vector<PlacementRequest> requests;
            requests.reserve(waiting.size());
            for (const auto &[number, request] : waiting) {
                requests.push_back(request);
            }
            for (const PlacementRequest &request : requests) {
                dispatcher.submit(request);
            }
        }
    }
    return {static_cast<double>(onTimeCount) / static_cast<double>(arrived.size()),
            std::chrono::duration<double>(itemWork) / std::chrono::duration<double>(itemTime)};
}

/** Replays the same bursts with nodes that each know only the requests they send themselves, without batch items. */
Outcome replayLocal(double perSecond)
{
    ManualClock clock;
    std::vector<std::unique_ptr<LocalPlacement>> nodes;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        nodes.push_back(std::make_unique<LocalPlacement>(clock, node + 1));
        nodes.back()->setReplicas(equalReplicas(replicaCount, slots));
    }
    struct Engine
    {
        std::uint32_t running = 0;
        std::deque<std::pair<SteadyTime, std::size_t>> waiting;
    };
    std::map<EndpointName, Engine> engines;
    std::multimap<SteadyTime, std::pair<EndpointName, std::size_t>> ends;
    std::size_t onTimeCount = 0;
    std::size_t requests = 0;
    const auto start = [&](const EndpointName &instance, SteadyTime since, std::size_t node) {
        ++engines[instance].running;
        onTimeCount += clock.now() - since <= objective ? 1 : 0;
        ends.emplace(clock.now() + streamTime, std::pair(instance, node));
    };
    Arrivals arrivals(perSecond, 7);
    std::minstd_rand random(3);
    for (std::chrono::milliseconds time{0}; time < length; time += step) {
        clock.advance(step);
        while (!ends.empty() && ends.begin()->first <= clock.now()) {
            const auto [instance, node] = ends.begin()->second;
            ends.erase(ends.begin());
            nodes[node]->end(instance, PlacementVerdict::Finished);
            Engine &engine = engines[instance];
            --engine.running;
            if (!engine.waiting.empty()) {
                const auto [since, waitingNode] = engine.waiting.front();
                engine.waiting.pop_front();
                start(instance, since, waitingNode);
            }
        }
        if (!arrivals.isDue(time)) {
            continue;
        }
        ++requests;
        const std::size_t node = random() % nodeCount;
        const std::optional<EndpointName> selected = nodes[node]->select(FailureDomain("z"), {});
        REQUIRE(selected);
        nodes[node]->begin(*selected);
        if (engines[*selected].running < slots) {
            start(*selected, clock.now(), node);
        } else {
            engines[*selected].waiting.emplace_back(clock.now(), node);
        }
    }
    return {static_cast<double>(onTimeCount) / static_cast<double>(requests), 0};
}

} // namespace

// Square bursts with a mean of 46 requests per second, on 9 replicas with 8 slots each. Ten nodes that each see a tenth
// of the load send some requests to full replicas while others have free slots; one queue does not.
TEST_CASE("one queue serves more of a burst on time than nodes with their own counts")
{
    const Outcome dispatched = replayDispatcher(46, Preemption::Yes);
    const Outcome local = replayLocal(46);
    MESSAGE("on time: dispatcher ", dispatched.onTime, ", each node alone ", local.onTime);
    CHECK(dispatched.onTime > 0.99);
    CHECK(local.onTime < dispatched.onTime - 0.01);
}

// The same bursts while batch items use every idle slot. If items kept their slots to the end, the first requests of
// each burst would wait for seconds. With preemption the items still use most of the idle slots.
TEST_CASE("preemptible batch items do not delay online requests, and fill the troughs")
{
    const Outcome withPreemption = replayDispatcher(40, Preemption::Yes);
    const Outcome withoutPreemption = replayDispatcher(40, Preemption::No);
    MESSAGE("on time: preemption ",
            withPreemption.onTime,
            ", no preemption ",
            withoutPreemption.onTime,
            "; items: ",
            withPreemption.items,
            ", ",
            withoutPreemption.items);
    CHECK(withPreemption.onTime > 0.99);
    CHECK(withoutPreemption.onTime < 0.95);
    const double idle = (replicaCount * slots - 40 * std::chrono::duration<double>(streamTime).count())
        * std::chrono::duration<double>(length) / std::chrono::duration<double>(itemTime);
    CHECK(withPreemption.items > 0.9 * idle);
}
