// Measures goodput and latency at 0.8, 1, 2 and 5 times the capacity of the engines, with concurrent lookups and real
// processes: with the queue of the nodes, and with practically unlimited slots, so that the engines receive every request.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>
#include <Benchmarks/Support/OpenLoad.h>

#include <Tests/Fakes/FakeEngine.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <map>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_int32(seconds, 5, "how long each load is offered");
DEFINE_double(overcommit, 1, "entry.overcommit of the nodes");
DEFINE_bool(unbounded, true, "measure the engines without the queue as well");
DEFINE_int32(capacity_per_second, 0, "requests per second that count as 1x; 0 measures the capacity");

namespace
{

using namespace Dogwoodkeel;

constexpr std::uint32_t tokens = 16;
constexpr std::chrono::milliseconds deadline{1000};
constexpr double lookupsPerSecond = 50;
const std::vector<std::string> domains{"one", "two", "three"};

struct Fleet
{
    explicit Fleet(const std::string &capacity) : local(FLAGS_programs)
    {
        this->local.startPlatform();
        for (const std::string &domain : domains) {
            this->local.startEndpoint(
                "engine", "m", domain, {"--step_us=10000", "--capacity=8"}, "capacity = " + capacity + "\n");
            this->local.startEndpoint("service", "prices", domain, {"--delay_ms=2"});
        }
        this->local.addSettings("[entry]\novercommit = " + std::to_string(FLAGS_overcommit)
                                + "\n[[service]]\nname = \"prices\"\n");
        for (const std::string &domain : domains) {
            this->local.startNode({domain, ""});
        }
    }

    std::vector<Address> targets() const
    {
        std::vector<Address> addresses;
        for (const std::size_t node : this->local.nodes()) {
            addresses.push_back(this->local.process(node).address);
        }
        return addresses;
    }

    LocalFleet local;
};

HttpRequest completion(std::uint64_t number)
{
    const nlohmann::json body{{"model", "m"}, {"prompt", "label " + std::to_string(number)}, {"max_tokens", tokens}};
    return {.method = "POST", .path = "/v1/completions", .body = body.dump()};
}

bool isWholeCompletion(std::uint64_t number, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() && json.contains("choices")
        && json["choices"][0]["text"] == FakeEngine::expectedText("label " + std::to_string(number), tokens);
}

struct Result
{
    double goodput = 0;
    double sent = 0;
    Durations answered;
    Durations refused;
    Durations lookups;
    std::uint64_t lost = 0;
    std::uint64_t withoutRetryAfter = 0;
    std::uint64_t lookupErrors = 0;
};

Result offer(const Fleet &fleet, double perSecond, std::uint64_t seed)
{
    EventLoop loop;
    int running = 1;
    const auto done = [&] {
        if (--running == 0) {
            loop.stop();
        }
    };
    const std::chrono::seconds duration(FLAGS_seconds);
    OpenLoad lookups(loop,
                     fleet.targets(),
                     {lookupsPerSecond,
                      deadline,
                      [](std::uint64_t number) {
                          return HttpRequest{.method = "GET", .path = "/v1/services/prices/p" + std::to_string(number)};
                      },
                      [](std::uint64_t, const std::string &body) {
                          return !body.empty();
                      }},
                     seed);
    OpenLoad online(loop, fleet.targets(), {perSecond, deadline, completion, isWholeCompletion}, seed + 1);
    lookups.start(duration, done);
    if (perSecond > 0) {
        ++running;
        online.start(duration, done);
    }
    loop.run();
    Result result;
    for (const RequestOutcome &outcome : online.outcomes()) {
        ++result.sent;
        if (outcome.isWhole && outcome.total <= deadline) {
            result.goodput += 1.0 / FLAGS_seconds;
            result.answered.add(outcome.total);
        } else if (outcome.status >= 400) {
            result.refused.add(outcome.total);
            result.withoutRetryAfter += outcome.hasRetryAfter ? 0 : 1;
        } else {
            ++result.lost;
        }
    }
    for (const RequestOutcome &outcome : lookups.outcomes()) {
        result.lookups.add(outcome.total);
        result.lookupErrors += outcome.isWhole ? 0 : 1;
    }
    return result;
}

/**
 * Offers each load in turn and prints the results, and the share of the best goodput that remains at five times the load.
 *
 * @param baseLoad requests per second that count as 1x; measured first if it is 0
 */
void measure(const std::string &variant, const std::string &capacity, double &baseLoad)
{
    Fleet fleet(capacity);
    if (!fleet.local.waitReady(std::chrono::seconds(20))) {
        std::fputs("the nodes did not become ready\n", stderr);
        std::exit(1);
    }
    offer(fleet, 20, 1);
    Result alone = offer(fleet, 0, 2);
    const std::string prefix = "overload." + variant;
    printFigure(prefix + ".lookup_p99_alone", alone.lookups.percentile(0.99), "ms");
    if (baseLoad == 0) {
        // The goodput under heavy overload, with the queue, is the capacity of these engines on this machine.
        baseLoad = offer(fleet, 400, 3).goodput;
        printFigure("overload.one", baseLoad, "requests/s");
    }
    std::map<double, Result> results;
    double best = 0;
    for (const double factor : {0.8, 1.0, 2.0, 5.0}) {
        Result &result = results[factor];
        result = offer(fleet, baseLoad * factor, 10);
        best = std::max(best, result.goodput);
        char buffer[64];
        std::snprintf(buffer, sizeof(buffer), "%s.%gx", prefix.c_str(), factor);
        const std::string name(buffer);
        printFigure(name + ".goodput", result.goodput, "requests/s");
        printFigure(name + ".answered_p99", result.answered.percentile(0.99), "ms");
        printFigure(name + ".refused", static_cast<double>(result.refused.count()) / std::max(1.0, result.sent), "share");
        printFigure(name + ".refused_p50", result.refused.percentile(0.5), "ms");
        printFigure(name + ".refused_p99", result.refused.percentile(0.99), "ms");
        printFigure(name + ".refused_without_retry_after", static_cast<double>(result.withoutRetryAfter), "requests");
        printFigure(name + ".late_or_lost", static_cast<double>(result.lost), "requests");
        printFigure(name + ".lookup_p99", result.lookups.percentile(0.99), "ms");
        printFigure(name + ".lookup_errors", static_cast<double>(result.lookupErrors), "requests");
    }
    printFigure(prefix + ".share_of_best_at_5x", best > 0 ? results[5.0].goodput / best : 0, "share");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    double baseLoad = FLAGS_capacity_per_second;
    measure("queue", "8", baseLoad);
    if (FLAGS_unbounded) {
        measure("unbounded", "100000", baseLoad);
    }
    return 0;
}
