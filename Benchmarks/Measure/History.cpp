// Runs concurrent callers against real nodes while a seeded schedule kills and pauses nodes and engines and injects faults
// into the platform. Records and checks what the callers see, prints "history violations <n>", and exits with a non-zero
// status if there are any.
#include <Benchmarks/Support/FaultSchedule.h>
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/HistoryCaller.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <LibHistory/HistoryChecker.h>
#include <Tests/Fakes/FakeEngine.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_uint64(seed, 1, "seed of the faults and of the callers");
DEFINE_int32(seconds, 8, "how long faults are injected");
DEFINE_int32(nodes, 3, "nodes");
DEFINE_int32(callers, 10, "concurrent callers");
DEFINE_int32(overlap, 2, "maximum number of concurrent faults");
DEFINE_int32(settle, 60, "seconds after the faults within which the fleet must answer all open requests");

namespace
{

using namespace Dogwoodkeel;
using Steady = std::chrono::steady_clock;

constexpr std::uint32_t itemsPerJob = 12;
constexpr std::size_t readsPerId = 2;
constexpr std::chrono::milliseconds timeout{4000};
constexpr std::chrono::milliseconds settleTimeout{5000};
constexpr std::chrono::milliseconds pauseBetween{5};
constexpr std::chrono::milliseconds settlePause{100};

struct Pools
{
    SharedIds completions;
    SharedIds offers;
    SharedIds jobs;
    std::atomic<bool> isOver = false;
};

/**
 * Runs one caller, which sends new ids, resends ids of other callers to other nodes, disconnects early, reads results, and
 * submits and cancels jobs.
 */
class Traffic
{
public:
    Traffic(Pools &pools, HistoryCaller &caller, std::uint64_t number, std::size_t nodes)
        : pools(pools), caller(caller), number(number), nodes(nodes), random(FLAGS_seed * 1000 + number)
    {
    }

    void run()
    {
        while (!this->pools.isOver) {
            const std::uint64_t dice = this->random() % 100;
            if (dice < 35) {
                this->caller.complete(this->idFrom(this->pools.completions, "c"), this->node(), this->randomTimeout());
            } else if (dice < 75) {
                this->issue();
            } else if (dice < 92) {
                this->read();
            } else if (dice < 99) {
                this->caller.submitJob(this->idFrom(this->pools.jobs, "j"), itemsPerJob, this->node(), timeout);
            } else {
                this->cancel();
            }
            std::this_thread::sleep_for(pauseBetween);
        }
    }

private:
    std::size_t node()
    {
        return this->random() % this->nodes;
    }

    /** Returns a short timeout for one request in four, so that the caller disconnects while its request runs. */
    std::chrono::milliseconds randomTimeout()
    {
        return this->random() % 4 == 0 ? std::chrono::milliseconds(10 + this->random() % 100) : timeout;
    }

    std::string idFrom(SharedIds &ids, const std::string &prefix)
    {
        const std::optional<std::string> known = ids.recent(this->random());
        if (known && this->random() % 3 == 0) {
            return *known;
        }
        std::string id = prefix + std::to_string(this->number) + '-' + std::to_string(++this->createdIds);
        ids.add(id);
        return id;
    }

    void issue()
    {
        // One offer in three is sent by one caller only, which may abandon it after a response that it did not run.
        if (this->random() % 3 != 0) {
            this->caller.issue(this->idFrom(this->pools.offers, "o"), this->node(), this->randomTimeout());
            return;
        }
        const std::string id = "s" + std::to_string(this->number) + '-' + std::to_string(++this->createdIds);
        CallOutcome outcome = CallOutcome::Lost;
        for (int attempt = 0; attempt < 3 && outcome != CallOutcome::NotRun && outcome != CallOutcome::Answered; ++attempt) {
            outcome = this->caller.issue(id, this->node(), this->randomTimeout());
        }
        if (outcome != CallOutcome::NotRun) {
            this->pools.offers.add(id);
        }
    }

    void read()
    {
        const bool isCompletion = this->random() % 2 == 0;
        SharedIds &ids = isCompletion ? this->pools.completions : this->pools.offers;
        if (const auto id = ids.recent(this->random())) {
            this->caller.readResult(*id, isCompletion, this->node(), timeout);
        }
    }

    void cancel()
    {
        const std::string id = this->idFrom(this->pools.jobs, "j");
        if (this->caller.submitJob(id, itemsPerJob, this->node(), timeout) == CallOutcome::Answered) {
            this->caller.cancelJob(id, this->node(), timeout);
        }
    }

    Pools &pools;
    HistoryCaller &caller;
    std::uint64_t number;
    std::size_t nodes;
    std::mt19937_64 random;
    std::uint64_t createdIds = 0;
};

bool isFinal(CallOutcome outcome)
{
    return outcome == CallOutcome::Answered || outcome == CallOutcome::OutcomeUnknown;
}

/** After the faults, resends all requests until each has its final response, and reads the results at several nodes. */
class Settlement
{
public:
    Settlement(HistoryCaller &caller, std::size_t nodes)
        : caller(caller), nodes(nodes), deadline(Steady::now() + std::chrono::seconds(FLAGS_settle))
    {
    }

    template <typename Call>
    void finish(std::vector<std::string> ids, bool isCompletion, const Call &call)
    {
        // Sends all ids in turn, so that one without a response does not use up the time of the others.
        for (std::size_t round = 0; !ids.empty() && Steady::now() < this->deadline; ++round) {
            std::vector<std::string> open;
            for (std::size_t i = 0; i < ids.size() && Steady::now() < this->deadline; ++i) {
                if (!isFinal(call(ids[i], (i + round) % this->nodes))) {
                    open.push_back(ids[i]);
                    continue;
                }
                for (std::size_t read = 0; read < readsPerId; ++read) {
                    this->caller.readResult(ids[i], isCompletion, (i + read) % this->nodes, settleTimeout);
                }
            }
            ids = std::move(open);
            std::this_thread::sleep_for(settlePause);
        }
    }

    FinalJobState finishJob(const std::string &id)
    {
        FinalJobState end;
        for (std::uint32_t i = 0; i < itemsPerJob; ++i) {
            end.expected.push_back(
                FakeEngine::expectedText(HistoryCaller::promptOf(id + '-' + std::to_string(i)), HistoryCaller::tokens));
        }
        std::size_t node = 0;
        while (this->caller.submitJob(id, itemsPerJob, node, settleTimeout) != CallOutcome::Answered
               && Steady::now() < this->deadline) {
            node = (node + 1) % this->nodes;
            std::this_thread::sleep_for(settlePause);
        }
        std::optional<HistoryCaller::JobStatus> status;
        do {
            std::this_thread::sleep_for(settlePause);
            status = this->caller.jobStatus(id, node);
            node = (node + 1) % this->nodes;
        } while ((!status || status->status == "running") && Steady::now() < this->deadline);
        end.doneFirst = status ? status->finished : 0;
        return end;
    }

    void readJob(const std::string &id, FinalJobState &end)
    {
        for (std::size_t node = 0; node < this->nodes; ++node) {
            if (const auto status = this->caller.jobStatus(id, node)) {
                end.doneLater = status->finished;
            }
            if (auto texts = this->caller.jobResults(id, node)) {
                end.readings.push_back(std::move(*texts));
            }
        }
    }

private:
    HistoryCaller &caller;
    std::size_t nodes;
    Steady::time_point deadline;
};

/** Returns how often each offer ran, as counted by the fake services. */
std::map<std::string, std::uint64_t> countRuns(const LocalFleet &fleet, const std::vector<std::size_t> &services)
{
    std::map<std::string, std::uint64_t> runs;
    for (const std::size_t service : services) {
        const auto counts = nlohmann::json::parse(LocalFleet::call(fleet.process(service).address, "GET", "/runs").body);
        for (const auto &[target, count] : counts.items()) {
            const auto body = nlohmann::json::parse(target.substr(target.find(' ') + 1), nullptr, false);
            if (body.is_object()) {
                runs[body.value("offer", std::string())] += count.get<std::uint64_t>();
            }
        }
    }
    return runs;
}

const char *nameOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::Pending:
        return "pending";
    case CallOutcome::NotRun:
        return "not_run";
    case CallOutcome::Refused:
        return "refused";
    case CallOutcome::OutcomeUnknown:
        return "outcome_unknown";
    case CallOutcome::Absent:
        return "absent";
    case CallOutcome::Lost:
        return "lost";
    }
    return "";
}

void print(const Violation &violation, const History &history)
{
    std::printf("violation %s %s: %s\n", toString(violation.kind), violation.id.c_str(), violation.message.c_str());
    for (const HistoryCall &call : history.calls) {
        if (call.id == violation.id) {
            std::printf("  %.3f..%.3f s node %zu kind %d %s %s\n",
                        static_cast<double>(call.invoked.count()) / 1e6,
                        static_cast<double>(call.ended.count()) / 1e6,
                        call.node + 1,
                        static_cast<int>(call.kind),
                        nameOf(call.outcome),
                        call.text.substr(0, 120).c_str());
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    LocalFleet fleet(FLAGS_programs);
    fleet.startPlatform({"--seed=" + std::to_string(FLAGS_seed)});
    // A short timeout, so that an unresponsive platform leaves the outcome of writes unknown, whether they took effect or not.
    fleet.addSettings("timeout = \"400ms\"\n");
    const std::vector<std::string> domains{"one", "two", "three"};
    FaultSchedule::Targets targets;
    std::vector<std::size_t> services;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        targets.engines.push_back(fleet.startEndpoint("engine", "m", domains[i]));
        if (i < 2) {
            // The slow service keeps intents without a result for longer, so that owners and runners fail between the two.
            services.push_back(
                fleet.startEndpoint("service", "offers", domains[i], {i == 0 ? "--delay_ms=20" : "--delay_ms=400"}));
        }
    }
    fleet.addSettings("[[service]]\nname = \"offers\"\nis_idempotent = false\n"
                      "[peers]\nsite_key = \"history\"\ncall_timeout = \"1s\"\n"
                      "[membership]\nsuspicion = \"500ms\"\n"
                      "[batch]\nitem_lease = \"3s\"\n"
                      "[entry]\nprogress_timeout = \"2s\"\nrequest_timeout = \"20s\"\nentry_ttl = \"1s\"\ndrain = \"5s\"\n");
    std::vector<Address> addresses;
    for (int i = 0; i < FLAGS_nodes; ++i) {
        targets.nodes.push_back(fleet.startNode({domains[static_cast<std::size_t>(i) % domains.size()], ""}));
        addresses.push_back(fleet.process(targets.nodes.back()).address);
    }
    // The services are not killed: they count the runs that the check needs.
    for (std::size_t i = 0; i < domains.size() && i < targets.nodes.size(); ++i) {
        targets.domains.push_back({targets.nodes[i], targets.engines[i]});
    }
    if (!fleet.waitReady(std::chrono::seconds(30))) {
        std::fputs("the nodes did not become ready\n", stderr);
        return 2;
    }

    std::printf("logs are kept with KEEP_LOGS=1, beside %s\n", fleet.process(targets.nodes.front()).logFile.c_str());
    const auto start = Steady::now();
    Pools pools;
    std::vector<std::unique_ptr<HistoryCaller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < FLAGS_callers; ++i) {
        callers.push_back(std::make_unique<HistoryCaller>(addresses, start));
        threads.emplace_back([&pools, &caller = *callers.back(), i, &addresses] {
            Traffic(pools, caller, static_cast<std::uint64_t>(i), addresses.size()).run();
        });
    }
    FaultSchedule schedule(fleet, targets, FLAGS_seed);
    schedule.run(std::chrono::seconds(FLAGS_seconds), static_cast<std::size_t>(FLAGS_overlap));
    pools.isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }

    const auto settleStart = Steady::now();
    const bool isReady = fleet.waitReady(std::chrono::seconds(FLAGS_settle));
    HistoryCaller settleCaller(addresses, start);
    Settlement settlement(settleCaller, addresses.size());
    settlement.finish(pools.completions.live(), true, [&settleCaller](const std::string &id, std::size_t node) {
        return settleCaller.complete(id, node, settleTimeout);
    });
    settlement.finish(pools.offers.live(), false, [&settleCaller](const std::string &id, std::size_t node) {
        return settleCaller.issue(id, node, settleTimeout);
    });
    History history;
    for (const std::string &id : pools.jobs.live()) {
        history.jobs[id] = settlement.finishJob(id);
    }
    for (auto &[id, end] : history.jobs) {
        settlement.readJob(id, end);
    }
    const std::chrono::duration<double> settled = Steady::now() - settleStart;
    for (const auto &caller : callers) {
        history.calls.insert(history.calls.end(), caller->calls().begin(), caller->calls().end());
    }
    history.calls.insert(history.calls.end(), settleCaller.calls().begin(), settleCaller.calls().end());
    for (const std::string &id : pools.completions.live()) {
        history.expected[id] = FakeEngine::expectedText(HistoryCaller::promptOf(id), HistoryCaller::tokens);
    }
    history.runs = countRuns(fleet, services);

    const std::vector<Violation> violations = HistoryChecker(history).check();
    for (const Violation &violation : violations) {
        print(violation, history);
    }
    for (const auto &[name, count] : schedule.injected()) {
        printFigure("history." + name, count, "count");
    }
    std::map<CallOutcome, std::uint32_t> outcomes;
    for (const HistoryCall &call : history.calls) {
        ++outcomes[call.outcome];
    }
    for (const auto &[outcome, count] : outcomes) {
        printFigure(std::string("history.calls_") + nameOf(outcome), count, "count");
    }
    printFigure("history.jobs", static_cast<double>(history.jobs.size()), "count");
    printFigure("history.settled_after", settled.count(), "s");
    printFigure("history.all_ready", isReady ? 1 : 0, "bool");
    std::printf("history violations %zu\n", violations.size());
    return violations.empty() ? 0 : 1;
}
