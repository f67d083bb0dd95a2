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
/** What a node does regularly. */
constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::chrono::milliseconds reportInterval{200};
constexpr std::chrono::milliseconds resubmitInterval{200};
constexpr std::chrono::seconds length{33};
/** Square bursts: 2.8 s of 6.6 s at 1.84 times the mean, the rest at 0.377 times. */
constexpr std::chrono::milliseconds period{6600};
constexpr std::chrono::milliseconds burstStart{3800};
constexpr double burstFactor = 1.84;
constexpr double troughFactor = 0.377;

/** What became of the requests and items of one replay. */
struct Outcome
{
    double onTime = 0;
    /** Items completed, by the time that replicas spent on them. */
    double items = 0;
};

double factorAt(std::chrono::milliseconds time)
{
    return time % period >= burstStart ? burstFactor : troughFactor;
}

/** Arrivals in steps of a millisecond, the same for the same seed. */
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

/** Whether batch items that run give way. */
enum class Yielding {
    Yes,
    No,
};

/** Replays bursts before one dispatcher, with batch items that always wait. */
Outcome replayDispatcher(double perSecond, Yielding yielding)
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
        // Items that may not be stopped are made so by having no time to spare.
        const bool mayWait = work == WorkClass::Batch && yielding == Yielding::Yes;
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
        // As nodes do: what waits is asked for again.
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

/** Replays the same bursts before nodes that each know only what they themselves send, without batch items. */
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

// Square bursts of 46 requests a second in the mean before 9 replicas with 8 slots each. Ten nodes that each see a tenth of the
// load send some requests to full replicas while others have room; one queue does not.
TEST_CASE("one queue serves more of a burst on time than nodes with counts of their own")
{
    const Outcome dispatched = replayDispatcher(46, Yielding::Yes);
    const Outcome local = replayLocal(46);
    MESSAGE("on time: dispatcher ", dispatched.onTime, ", each node alone ", local.onTime);
    CHECK(dispatched.onTime > 0.99);
    CHECK(local.onTime < dispatched.onTime - 0.01);
}

// The same bursts while batch items fill every idle slot. If items kept their slots to the end, the first requests of each
// burst would wait for seconds; they give way, and the work of the items is still most of what the idle slots can do.
TEST_CASE("batch items that give way cost online requests nothing, and fill the troughs")
{
    const Outcome yielding = replayDispatcher(40, Yielding::Yes);
    const Outcome keeping = replayDispatcher(40, Yielding::No);
    MESSAGE(
        "on time: yielding ", yielding.onTime, ", keeping ", keeping.onTime, "; items: ", yielding.items, ", ", keeping.items);
    CHECK(yielding.onTime > 0.99);
    CHECK(keeping.onTime < 0.95);
    const double idle = (replicaCount * slots - 40 * std::chrono::duration<double>(streamTime).count())
        * std::chrono::duration<double>(length) / std::chrono::duration<double>(itemTime);
    CHECK(yielding.items > 0.9 * idle);
}
