// Measures the time that the selection of a replica takes, by the number of replicas.
#include <Benchmarks/Support/Figures.h>

#include <LibBase/Hash.h>
#include <LibBase/SystemClock.h>
#include <LibFleet/FleetState.h>
#include <LibRouting/ReplicaSelector.h>

#include <algorithm>
#include <deque>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "not used: starts no programs");
DEFINE_int32(decisions, 200000, "number of timed decisions");

namespace
{

using namespace Dogwoodkeel;

constexpr const char *model = "m";
constexpr std::size_t inFlight = 200;
constexpr std::uint64_t prefixes = 1000;

/** Selects replicas as a node does, while a bounded number of requests is in flight. */
class SelectionBenchmark
{
public:
    explicit SelectionBenchmark(std::size_t count) : settings(make(count)), table(this->settings->endpoints)
    {
        ReplicaReport report;
        report.inFlight = 3;
        for (const EndpointSettings &endpoint : this->settings->endpoints) {
            report.endpoint = EndpointName(endpoint.name);
            this->state.observe(report);
        }
    }

    /** @return nanoseconds for one selection, including the accounting of its request */
    template <typename Select>
    double time(const Select &select)
    {
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < FLAGS_decisions; ++i) {
            Replica *const replica = select(static_cast<std::uint64_t>(i));
            this->state.begin(*replica);
            this->open.push_back(replica);
            if (this->open.size() > inFlight) {
                this->state.end(*this->open.front(), {});
                this->open.pop_front();
            }
        }
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
        return elapsed.count() / FLAGS_decisions;
    }

    void measure(const std::string &name)
    {
        printFigure("decisions.route_two_choices." + name,
                    this->time([this](std::uint64_t) {
                        return this->selector.select(model, {});
                    }),
                    "ns");
        printFigure("decisions.route_prefix." + name,
                    this->time([this](std::uint64_t number) {
                        return this->selector.select(model, {.prefix = rendezvousWeight(1, number % prefixes)});
                    }),
                    "ns");
        printFigure("decisions.route_scan_of_all." + name,
                    this->time([this](std::uint64_t) {
                        return *std::ranges::min_element(this->table.of(model), {}, [](const Replica *replica) {
                            return replica->inFlight + replica->otherNodes.inFlight;
                        });
                    }),
                    "ns");
    }

private:
    static SettingsPointer make(std::size_t count)
    {
        const auto settings = std::make_shared<Settings>();
        for (std::size_t i = 0; i < count; ++i) {
            const std::string name = std::to_string(i);
            settings->endpoints.push_back({.name = name, .failureDomain = std::to_string(i % 3), .model = model, .capacity = 8});
        }
        return settings;
    }

    SettingsHandle settings;
    SystemClock clock;
    std::mt19937_64 random{1};
    ReplicaTable table;
    FleetState state{this->clock, this->settings, this->table};
    ReplicaSelector selector{this->clock, this->settings, this->table, this->random};
    std::deque<Replica *> open;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const std::size_t count : {9, 180, 1800}) {
        SelectionBenchmark(count).measure("replicas_" + std::to_string(count));
    }
    return 0;
}
