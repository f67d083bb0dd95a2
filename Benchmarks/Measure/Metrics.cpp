// Measures the time that metrics take for one token: with the series that NodeMetrics keeps, and with a lookup in the
// registry for each observation.
#include <Benchmarks/Support/Figures.h>

#include <LibMetrics/NodeMetrics.h>

#include <gflags/gflags.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

DEFINE_string(programs, "build", "not used");
DEFINE_uint64(tokens, 1000000, "tokens observed with each method");

namespace
{

using namespace Dogwoodkeel;
using Clock = std::chrono::steady_clock;

template <typename Action>
void measure(const std::string &name, const Action &action)
{
    const auto start = Clock::now();
    for (std::uint64_t i = 0; i < FLAGS_tokens; ++i) {
        action();
    }
    const std::chrono::duration<double, std::nano> elapsed = Clock::now() - start;
    printFigure("metrics." + name, elapsed.count() / static_cast<double>(FLAGS_tokens), "ns per token");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr std::chrono::microseconds wait{33000};
    prometheus::Registry registry;
    auto &family = prometheus::BuildHistogram().Name("between").Register(registry);
    const prometheus::Histogram::BucketBoundaries buckets{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.35, 0.57, 1, 2, 5, 10, 30, 60};
    measure("registry", [&] {
        family.Add({{"kind", std::string("online")}}, buckets).Observe(std::chrono::duration<double>(wait).count());
    });
    NodeMetrics metrics;
    const WorkspaceName tenant("trocamundo");
    metrics.countRequest(tenant);
    measure("kind", [&] {
        metrics.observeBetweenTokens("online", wait);
    });
    measure("tenant", [&] {
        metrics.observeBetweenTokens(tenant, wait);
    });
    measure("answer", [&] {
        metrics.countAnswer("online", "200");
    });
    return 0;
}
