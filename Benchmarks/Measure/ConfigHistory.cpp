// Checks that an acknowledged configuration comes into force at every node and is never reverted, while nodes are killed
// and paused, the platform is down, slow or loses responses, and two operators submit changes concurrently. Each version
// sets the time to live of /v1/entries to its own number in seconds, so a response shows which version a node uses.
#include <Benchmarks/Support/FaultSchedule.h>
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_uint64(seed, 1, "seed of the faults");
DEFINE_int32(seconds, 8, "how long faults are injected");
DEFINE_int32(nodes, 5, "nodes, in two sites");

namespace
{

using namespace Dogwoodkeel;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusInvalid = 422;
constexpr std::chrono::milliseconds pollPause{20};
constexpr std::chrono::seconds settleTime{20};

/** Collects acknowledged versions and the versions seen at each node, and reports violations. */
class Observations
{
public:
    void recordAccepted(std::uint64_t number, const std::string &nonce)
    {
        const std::lock_guard lock(this->mutex);
        const auto [known, isNew] = this->nonces.try_emplace(number, nonce);
        if (!isNew && known->second != nonce) {
            this->reportViolation("version " + std::to_string(number) + " was acknowledged to two operators");
        }
        this->newest = std::max(this->newest, number);
    }

    void recordSeen(std::size_t node, std::uint64_t number)
    {
        const std::lock_guard lock(this->mutex);
        std::uint64_t &before = this->byNode[node];
        if (number < before) {
            this->reportViolation("node " + std::to_string(node) + " reverted from " + std::to_string(before) + " to "
                                  + std::to_string(number));
        }
        before = std::max(before, number);
        ++this->checks;
    }

    void reportViolation(const std::string &message)
    {
        std::printf("violation: %s\n", message.c_str());
        ++this->violations;
    }

    std::uint64_t newestAccepted()
    {
        const std::lock_guard lock(this->mutex);
        return this->newest;
    }

    std::mutex mutex;
    std::map<std::uint64_t, std::string> nonces;
    std::map<std::size_t, std::uint64_t> byNode;
    std::uint64_t newest = 0;
    std::uint64_t checks = 0;
    std::atomic<std::uint64_t> violations = 0;
    std::atomic<std::uint64_t> raced = 0;
};

/** Applies one change after the other at random nodes and resends each until it is acknowledged or rejected. */
class Operator
{
public:
    Operator(const LocalFleet &fleet, Observations &observations, std::string name, std::uint64_t seed)
        : fleet(fleet), observations(observations), name(std::move(name)), random(seed)
    {
    }

    void run(const std::atomic<bool> &isStopping)
    {
        while (!isStopping) {
            const auto shown = LocalFleet::call(this->anyNode(), "GET", "/v1/config");
            const Json json = Json::parse(shown.body, nullptr, false);
            if (shown.status == statusOk && json.is_object()) {
                this->apply(json.value("version", std::uint64_t{0}), isStopping);
            }
            std::this_thread::sleep_for(pollPause);
        }
    }

private:
    void apply(std::uint64_t edited, const std::atomic<bool> &isStopping)
    {
        const std::string nonce = this->name + std::to_string(++this->changes);
        const std::string base = "[entry]\nentry_ttl = \"" + std::to_string(edited + 1) + "s\"\n";
        const Json body{{"edited", edited}, {"nonce", nonce}, {"reason", "history"}, {"base", base}};
        while (!isStopping) {
            const auto answer = LocalFleet::call(this->anyNode(), "POST", "/v1/config", body.dump());
            if (answer.status == statusOk) {
                this->observations.recordAccepted(Json::parse(answer.body).value("version", std::uint64_t{0}), nonce);
                return;
            }
            if (answer.status == statusConflict) {
                ++this->observations.raced;
                return;
            }
            if (answer.status == statusInvalid) {
                this->observations.reportViolation("a valid version was rejected: " + answer.body);
                return;
            }
            std::this_thread::sleep_for(pollPause);
        }
    }

    Address anyNode()
    {
        const auto nodes = this->fleet.nodes();
        return this->fleet.process(nodes[this->random() % nodes.size()]).address;
    }

    const LocalFleet &fleet;
    Observations &observations;
    std::string name;
    std::mt19937_64 random;
    std::uint64_t changes = 0;
};

/** Polls the version that one node uses, also across its restarts. */
void pollVersion(const Address &node, std::size_t index, Observations &observations, const std::atomic<bool> &isStopping)
{
    while (!isStopping) {
        const auto answer = LocalFleet::call(node, "GET", "/v1/entries");
        const Json json = Json::parse(answer.body, nullptr, false);
        if (answer.status == statusOk && json.is_object()) {
            observations.recordSeen(index, json.value("ttl_seconds", std::uint64_t{0}));
        }
        std::this_thread::sleep_for(pollPause);
    }
}

/** @return time after the faults until all nodes use the newest accepted version, or nothing after a timeout */
std::optional<Clock::duration> settle(Observations &observations, std::size_t nodes)
{
    const auto start = Clock::now();
    while (Clock::now() - start < settleTime) {
        {
            const std::lock_guard lock(observations.mutex);
            std::size_t current = 0;
            for (const auto &[node, number] : observations.byNode) {
                current += number >= observations.newest ? 1 : 0;
            }
            if (current == nodes) {
                return Clock::now() - start;
            }
        }
        std::this_thread::sleep_for(pollPause);
    }
    return std::nullopt;
}

void checkLog(const Address &node, Observations &observations)
{
    const auto answer = LocalFleet::call(node, "GET", "/v1/config/log?limit=1000");
    const Json versions = Json::parse(answer.body, nullptr, false).value("versions", Json::array());
    std::uint64_t expected = versions.size();
    for (const Json &version : versions) {
        if (version.value("version", std::uint64_t{0}) != expected--) {
            observations.reportViolation("the configuration log has a gap");
        }
    }
    if (versions.size() < observations.newestAccepted()) {
        observations.reportViolation("the configuration log lacks an accepted version");
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    LocalFleet fleet(FLAGS_programs);
    fleet.startPlatform({"--seed=" + std::to_string(FLAGS_seed)});
    fleet.addSettings("[entry]\nentry_ttl = \"1s\"\n");
    for (int i = 0; i < FLAGS_nodes; ++i) {
        fleet.startNode({"domain-" + std::to_string(i % 3),
                         "[node]\nsite = \"site-" + std::to_string(i % 2) + "\"\n[platform]\ntimeout = \"500ms\"\n"});
    }
    if (!fleet.waitReady(std::chrono::seconds(20))) {
        std::fputs("the nodes did not become ready\n", stderr);
        return 1;
    }
    Observations observations;
    std::atomic<bool> isStopping = false;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> operatorThreads;
    std::vector<std::thread> watcherThreads;
    std::vector<std::unique_ptr<Operator>> operators;
    for (const char *const name : {"ana", "bruno"}) {
        operators.push_back(std::make_unique<Operator>(fleet, observations, name, FLAGS_seed + operators.size()));
        operatorThreads.emplace_back([&operatorClient = *operators.back(), &isStopping] {
            operatorClient.run(isStopping);
        });
    }
    for (const std::size_t node : fleet.nodes()) {
        watcherThreads.emplace_back([address = fleet.process(node).address, node, &observations, &isOver] {
            pollVersion(address, node, observations, isOver);
        });
    }
    FaultSchedule faults(fleet, {fleet.nodes(), {}}, FLAGS_seed);
    faults.run(std::chrono::seconds(FLAGS_seconds), 2);
    isStopping = true;
    for (std::thread &thread : operatorThreads) {
        thread.join();
    }
    const auto settled = settle(observations, fleet.nodes().size());
    if (!settled) {
        observations.reportViolation("the newest accepted version did not come into force at every node");
    }
    isOver = true;
    for (std::thread &thread : watcherThreads) {
        thread.join();
    }
    checkLog(fleet.process(fleet.nodes().front()).address, observations);
    for (const auto &[fault, count] : faults.injected()) {
        printFigure("confighistory.fault_" + fault, count, "1");
    }
    printFigure("confighistory.accepted", static_cast<double>(observations.newest), "1");
    printFigure("confighistory.raced", static_cast<double>(observations.raced), "1");
    printFigure("confighistory.looks", static_cast<double>(observations.checks), "1");
    if (settled) {
        printFigure("confighistory.settled", std::chrono::duration<double, std::milli>(*settled).count(), "ms");
    }
    printFigure("confighistory.violations", static_cast<double>(observations.violations), "1");
    return observations.violations == 0 ? 0 : 1;
}
