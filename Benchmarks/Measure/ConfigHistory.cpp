// Whether a configuration that was told as accepted is in force at every node and never goes back, while nodes are killed
// and paused, the platform is down, slow or loses answers, and two operators race. Each version sets the time to live of
// /v1/entries to its own number of seconds, so what callers see at a node tells the version that it works by.
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
DEFINE_uint64(seed, 1, "of the faults");
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
constexpr std::chrono::milliseconds watchPause{20};
constexpr std::chrono::seconds settleTime{20};

/** What operators were told and callers saw. */
class Record
{
public:
    void accepted(std::uint64_t number, const std::string &nonce)
    {
        const std::lock_guard lock(this->mutex);
        const auto [known, isNew] = this->nonces.try_emplace(number, nonce);
        if (!isNew && known->second != nonce) {
            this->fail("version " + std::to_string(number) + " was told as accepted to two operators");
        }
        this->newest = std::max(this->newest, number);
    }

    void saw(std::size_t node, std::uint64_t number)
    {
        const std::lock_guard lock(this->mutex);
        std::uint64_t &before = this->byNode[node];
        if (number < before) {
            this->fail("node " + std::to_string(node) + " went back from " + std::to_string(before) + " to "
                       + std::to_string(number));
        }
        before = std::max(before, number);
        ++this->looks;
    }

    void fail(const std::string &what)
    {
        std::printf("violation: %s\n", what.c_str());
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
    std::uint64_t looks = 0;
    std::atomic<std::uint64_t> violations = 0;
    std::atomic<std::uint64_t> raced = 0;
};

/** An operator who applies one change after the other, at any node, and resends until told. */
class Operator
{
public:
    Operator(const LocalFleet &fleet, Record &record, std::string name, std::uint64_t seed)
        : fleet(fleet), record(record), name(std::move(name)), random(seed)
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
            std::this_thread::sleep_for(watchPause);
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
                this->record.accepted(Json::parse(answer.body).value("version", std::uint64_t{0}), nonce);
                return;
            }
            if (answer.status == statusConflict) {
                ++this->record.raced;
                return;
            }
            if (answer.status == statusInvalid) {
                this->record.fail("a good version was refused: " + answer.body);
                return;
            }
            std::this_thread::sleep_for(watchPause);
        }
    }

    Address anyNode()
    {
        const auto nodes = this->fleet.nodes();
        return this->fleet.process(nodes[this->random() % nodes.size()]).address;
    }

    const LocalFleet &fleet;
    Record &record;
    std::string name;
    std::mt19937_64 random;
    std::uint64_t changes = 0;
};

/** Reads at one node what callers are told there, again and again, over its restarts. */
void watch(const Address &node, std::size_t index, Record &record, const std::atomic<bool> &isStopping)
{
    while (!isStopping) {
        const auto answer = LocalFleet::call(node, "GET", "/v1/entries");
        const Json json = Json::parse(answer.body, nullptr, false);
        if (answer.status == statusOk && json.is_object()) {
            record.saw(index, json.value("ttl_seconds", std::uint64_t{0}));
        }
        std::this_thread::sleep_for(watchPause);
    }
}

/** @return how long the nodes took, after the faults, until all had the newest accepted version */
std::optional<Clock::duration> settle(Record &record, std::size_t nodes)
{
    const auto start = Clock::now();
    while (Clock::now() - start < settleTime) {
        {
            const std::lock_guard lock(record.mutex);
            std::size_t current = 0;
            for (const auto &[node, number] : record.byNode) {
                current += number >= record.newest ? 1 : 0;
            }
            if (current == nodes) {
                return Clock::now() - start;
            }
        }
        std::this_thread::sleep_for(watchPause);
    }
    return std::nullopt;
}

void checkLog(const Address &node, Record &record)
{
    const auto answer = LocalFleet::call(node, "GET", "/v1/config/log?limit=1000");
    const Json versions = Json::parse(answer.body, nullptr, false).value("versions", Json::array());
    std::uint64_t expected = versions.size();
    for (const Json &version : versions) {
        if (version.value("version", std::uint64_t{0}) != expected--) {
            record.fail("the log has a gap");
        }
    }
    if (versions.size() < record.newestAccepted()) {
        record.fail("the log lacks an accepted version");
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
    Record record;
    std::atomic<bool> isStopping = false;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> operators;
    std::vector<std::thread> watchers;
    std::vector<std::unique_ptr<Operator>> people;
    for (const char *const name : {"ana", "bruno"}) {
        people.push_back(std::make_unique<Operator>(fleet, record, name, FLAGS_seed + people.size()));
        operators.emplace_back([&person = *people.back(), &isStopping] {
            person.run(isStopping);
        });
    }
    for (const std::size_t node : fleet.nodes()) {
        watchers.emplace_back([address = fleet.process(node).address, node, &record, &isOver] {
            watch(address, node, record, isOver);
        });
    }
    FaultSchedule faults(fleet, {fleet.nodes(), {}}, FLAGS_seed);
    faults.run(std::chrono::seconds(FLAGS_seconds), 2);
    isStopping = true;
    for (std::thread &thread : operators) {
        thread.join();
    }
    const auto settled = settle(record, fleet.nodes().size());
    if (!settled) {
        record.fail("the newest accepted version did not come into force at every node");
    }
    isOver = true;
    for (std::thread &thread : watchers) {
        thread.join();
    }
    checkLog(fleet.process(fleet.nodes().front()).address, record);
    for (const auto &[fault, count] : faults.injected()) {
        printFigure("confighistory.fault_" + fault, count, "1");
    }
    printFigure("confighistory.accepted", static_cast<double>(record.newest), "1");
    printFigure("confighistory.raced", static_cast<double>(record.raced), "1");
    printFigure("confighistory.looks", static_cast<double>(record.looks), "1");
    if (settled) {
        printFigure("confighistory.settled", std::chrono::duration<double, std::milli>(*settled).count(), "ms");
    }
    printFigure("confighistory.violations", static_cast<double>(record.violations), "1");
    return record.violations == 0 ? 0 : 1;
}
