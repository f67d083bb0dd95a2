// Measures what the submission of a large batch job costs the node that accepts it: peak memory and time, by the job's size.
#include <Benchmarks/Support/Figures.h>
#include <Benchmarks/Support/LocalFleet.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_uint64(item_bytes, 400, "size of an item's prompt");

namespace
{

using namespace Dogwoodkeel;
using Clock = std::chrono::steady_clock;

/** @return the peak resident memory of the process, in megabytes. */
double peakMegabytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            constexpr double kilobytesPerMegabyte = 1024;
            return std::stod(line.substr(line.find_first_of("0123456789"))) / kilobytesPerMegabyte;
        }
    }
    return 0;
}

std::string bodyOf(std::size_t items)
{
    const std::string line = R"({"model":"summary","max_tokens":1,"prompt":")" + std::string(FLAGS_item_bytes, 'x') + "\"}\n";
    std::string body;
    body.reserve(line.size() * items);
    for (std::size_t i = 0; i < items; ++i) {
        body += line;
    }
    return body;
}

/** Submits one job to a fleet of its own, so that the peak is due to that job alone. */
bool measure(std::size_t items)
{
    LocalFleet fleet(FLAGS_programs);
    fleet.startPlatform();
    fleet.startEndpoint("engine", "summary", "one");
    const std::size_t node = fleet.startNode({"one", ""});
    if (!fleet.waitReady(std::chrono::seconds(10))) {
        return false;
    }
    const double before = peakMegabytes(fleet.process(node).pid);
    const std::string body = bodyOf(items);
    const auto start = Clock::now();
    const auto answer = LocalFleet::call(fleet.process(node).address, "POST", "/v1/batches?due_in=86400", body);
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    const std::string name = "submission." + std::to_string(items);
    printFigure(name + ".status", answer.status, "");
    printFigure(name + ".body", static_cast<double>(body.size()) / 1e6, "MB");
    printFigure(name + ".peak_memory_added", peakMegabytes(fleet.process(node).pid) - before, "MB");
    printFigure(name + ".time", elapsed.count(), "s");
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const std::size_t items : {1000UL, 20000UL, 100000UL, 260000UL}) {
        if (!measure(items)) {
            std::fputs("the node did not become ready\n", stderr);
            return 1;
        }
    }
    return 0;
}
