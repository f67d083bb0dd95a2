#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t replicaCount = 12;
constexpr std::uint32_t slots = 8;
/** Items that each replica still runs for failed nodes. */
constexpr std::uint32_t leftoverItems = 4;
constexpr std::chrono::milliseconds streamTime{550};
constexpr std::chrono::milliseconds itemTime{1500};
constexpr std::chrono::milliseconds objective{250};
constexpr std::chrono::milliseconds length{2000};
constexpr std::uint64_t itemCount = 80;
constexpr double perSecond = 60;

/** Whether the dispatcher receives the load that the replicas report. */
enum class Reported {
    Yes,
    No,
};

struct Outcome
{
    std::size_t requests = 0;
    std::size_t onTime = 0;
};

/**
 * Simulates the replicas in steps of a millisecond: each runs as many requests as it has slots and queues the others in
 * order of arrival.
 */
class Engines
{
public:
    explicit Engines(const ManualClock &clock) : clock(clock)
    {
        std::minstd_rand random(5);
        std::uniform_int_distribution<int> remaining(800, 3000);
        for (std::uint32_t i = 0; i < replicaCount; ++i) {
            Engine &engine = this->engines[EndpointName("r" + std::to_string(i))];
            for (std::uint32_t item = 0; item < leftoverItems; ++item) {
                engine.running.emplace(this->clock.now() + std::chrono::milliseconds(remaining(random)), 0);
            }
        }
    }

    void send(const EndpointName &instance, std::uint64_t number, std::chrono::milliseconds runTime)
    {
        this->engines.at(instance).waiting.emplace_back(number, runTime);
    }

    void cancel(const EndpointName &instance, std::uint64_t number)
    {
        Engine &engine = this->engines.at(instance);
        std::erase_if(engine.running, [number](const auto &run) {
            return run.second == number;
        });
        std::erase_if(engine.waiting, [number](const auto &waiting) {
            return waiting.first == number;
        });
    }

    /** @return requests that have finished by now. */
    std::vector<std::uint64_t> endDue()
    {
        std::vector<std::uint64_t> finished;
        for (auto &[instance, engine] : this->engines) {
            while (!engine.running.empty() && engine.running.begin()->first <= this->clock.now()) {
                finished.push_back(engine.running.begin()->second);
                engine.running.erase(engine.running.begin());
            }
        }
        return finished;
    }

    /** @return requests that start now, with their replicas. */
    std::vector<std::pair<std::uint64_t, EndpointName>> startWaiting()
    {
        std::vector<std::pair<std::uint64_t, EndpointName>> started;
        for (auto &[instance, engine] : this->engines) {
            while (!engine.waiting.empty() && engine.running.size() < slots) {
                const auto [number, runTime] = engine.waiting.front();
                engine.waiting.pop_front();
                engine.running.emplace(this->clock.now() + runTime, number);
                started.emplace_back(number, instance);
            }
        }
        return started;
    }

    ReportedLoad load(const EndpointName &instance) const
    {
        const Engine &engine = this->engines.at(instance);
        return {static_cast<std::uint32_t>(engine.running.size()), static_cast<std::uint32_t>(engine.waiting.size())};
    }

private:
    struct Engine
    {
        std::multimap<SteadyTime, std::uint64_t> running;
        std::deque<std::pair<std::uint64_t, std::chrono::milliseconds>> waiting;
    };

    const ManualClock &clock;
    std::map<EndpointName, Engine> engines;
};

Outcome replay(Reported reported)
{
    ManualClock clock;
    Engines engines(clock);
    Outcome outcome;
    std::map<std::uint64_t, SteadyTime> arrived;
    std::map<std::uint64_t, EndpointName> placedAt;
    std::vector<std::uint64_t> stopped;
    Dispatcher dispatcher(clock,
                          {.place =
                               [&](TicketId id, const EndpointName &replica) {
                                   placedAt.insert_or_assign(id.number, replica);
                                   engines.send(replica, id.number, arrived.contains(id.number) ? streamTime : itemTime);
                               },
                           .stop =
                               [&](TicketId id) {
                                   stopped.push_back(id.number);
                               },
                           .refuse = [](TicketId, std::chrono::milliseconds) {}});
    dispatcher.setReplicas(equalReplicas(replicaCount, slots));
    if (reported == Reported::No) {
        for (const DispatchReplica &replica : equalReplicas(replicaCount, slots)) {
            dispatcher.recordLoad(replica.instance, {});
        }
    }
    const auto submit = [&](std::uint64_t number, WorkClass work) {
        PlacementRequest request;
        request.id = {SessionNumber(1), number};
        request.work = work;
        request.arrived = clock.now();
        request.due = clock.now() + (work == WorkClass::Online ? objective : std::chrono::milliseconds(4000));
        request.deadline = clock.now() + 5s;
        dispatcher.submit(request);
    };
    const auto end = [&](std::uint64_t number) {
        placedAt.erase(number);
        dispatcher.end({SessionNumber(1), number}, PlacementVerdict::Finished);
    };
    for (std::uint64_t item = 1; item <= itemCount; ++item) {
        submit(item, WorkClass::Batch);
    }
    std::uint64_t lastTicket = itemCount;
    std::minstd_rand random(11);
    std::uniform_real_distribution<double> chance(0, 1);
    for (std::chrono::milliseconds time{0}; time < length; time += 1ms) {
        clock.advance(1ms);
        for (const std::uint64_t number : engines.endDue()) {
            if (number != 0) {
                end(number);
            }
        }
        for (const std::uint64_t number : std::exchange(stopped, {})) {
            engines.cancel(placedAt.at(number), number);
            end(number);
        }
        for (const auto &[number, instance] : engines.startWaiting()) {
            const auto online = arrived.find(number);
            const bool isOnline = online != arrived.end();
            outcome.onTime += isOnline && clock.now() - online->second <= objective ? 1 : 0;
            const ReportedLoad load = engines.load(instance);
            const bool isReported = !isOnline || load.waiting > 0 || load.running >= slots;
            if (reported == Reported::Yes && isReported) {
                dispatcher.recordLoad(instance, load);
            }
        }
        // Requests that arrive within the last moments can't be on time within the replay.
        if (time + objective < length && chance(random) < perSecond / 1000) {
            ++outcome.requests;
            arrived[++lastTicket] = clock.now();
            submit(lastTicket, WorkClass::Online);
        }
        if (time % 20ms == 0ms) {
            dispatcher.tick();
        }
    }
    return outcome;
}

} // namespace

// All nodes have failed and restarted. The replicas continue with the items of the former nodes, of which the new
// dispatcher knows nothing. It assumes that all slots are free and fills them with waiting items, so online requests
// wait behind these in the replicas' queues. The load that replicas report with their answers shows the used slots.
TEST_CASE("a new dispatcher learns from reported load which slots requests of failed nodes use")
{
    const Outcome reported = replay(Reported::Yes);
    const Outcome unreported = replay(Reported::No);
    MESSAGE("requests ", reported.requests, ", on time: reported ", reported.onTime, ", unreported ", unreported.onTime);
    CHECK(reported.onTime * 10 > reported.requests * 9);
    CHECK(unreported.onTime * 2 < unreported.requests);
}
