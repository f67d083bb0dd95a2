// Measures the traffic and processor time of membership and how fast a failed member is detected, by the number of nodes.
// All members run in this process on a manual clock, so bytes and times do not depend on the machine.
#include <Benchmarks/Support/Figures.h>
#include <Tests/Fakes/GossipNetwork.h>

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <set>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs");
DEFINE_string(sizes, "3,11,50,100,390", "fleet sizes run in this process");
DEFINE_int32(seconds, 60, "simulated seconds for which each steady state is measured");

namespace
{

using namespace Dogwoodkeel;
using namespace std::chrono_literals;
using Number = GossipNetwork::Number;

std::vector<Number> parseSizes(const std::string &text)
{
    std::vector<Number> sizes;
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t comma = std::min(text.find(',', position), text.size());
        sizes.push_back(std::stoull(text.substr(position, comma - position)));
        position = comma + 1;
    }
    return sizes;
}

std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/** Advances the clock until a condition holds. @return the simulated time until then, or nothing after 120 s */
std::optional<std::chrono::milliseconds> waitUntil(GossipNetwork &network, const std::function<bool()> &isReached)
{
    constexpr std::chrono::milliseconds step = 10ms;
    constexpr std::chrono::milliseconds maxWait = 120s;
    for (std::chrono::milliseconds waited = 0ms; waited < maxWait; waited += step) {
        if (isReached()) {
            return waited;
        }
        network.clock.advance(step);
    }
    return std::nullopt;
}

void print(const std::string &name, std::optional<std::chrono::milliseconds> time)
{
    printFigure(name, time ? static_cast<double>(time->count()) : -1, "ms");
}

/** Measures traffic and processor time per node and second while no member joins or fails. */
void measureSteady(GossipNetwork &network, const std::string &prefix, Number size)
{
    const std::uint64_t bytes = network.bytes;
    const std::uint64_t datagrams = network.datagrams;
    const std::chrono::nanoseconds before = processorTime();
    network.clock.advance(std::chrono::seconds(FLAGS_seconds));
    const auto nodeSeconds = static_cast<double>(size) * FLAGS_seconds;
    const std::chrono::duration<double, std::micro> elapsed = processorTime() - before;
    printFigure(prefix + "sent", static_cast<double>(network.bytes - bytes) / nodeSeconds, "bytes/s/node");
    printFigure(prefix + "datagrams", static_cast<double>(network.datagrams - datagrams) / nodeSeconds, "1/s/node");
    printFigure(prefix + "processor", elapsed.count() / nodeSeconds / 1e6 * 100, "%/node");
}

void measureDeath(GossipNetwork &network, const std::string &prefix, Number victim)
{
    network.kill(victim);
    const SessionNumber session(victim);
    std::size_t informed = 0;
    const auto countInformed = [&] {
        informed = 0;
        for (const Number number : network.running()) {
            informed += network.member(number).view()->find(session) == nullptr ? 1 : 0;
        }
        return informed;
    };
    const auto first = waitUntil(network, [&] {
        return countInformed() > 0;
    });
    const auto remaining = waitUntil(network, [&] {
        return countInformed() == network.running().size();
    });
    print(prefix + "death_first", first);
    print(prefix + "death_all", first && remaining ? std::optional(*first + *remaining) : std::nullopt);
}

/** Counts running nodes that are suspected or removed while datagrams are lost and nodes are paused. */
void measureFalseSuspicions(GossipNetwork &network, const std::string &prefix, Number size)
{
    constexpr int pauses = 20;
    std::set<std::pair<Number, std::uint64_t>> suspected;
    std::set<Number> lost;
    network.onView = [&](Number, const MemberView &view) {
        for (const Member &member : view.members()) {
            if (member.state == MemberState::Suspect) {
                suspected.insert({member.session.value(), member.incarnation});
            }
        }
        for (const Number number : network.running()) {
            if (view.find(SessionNumber(number)) == nullptr) {
                lost.insert(number);
            }
        }
    };
    network.loss = 0.02;
    for (int i = 0; i < pauses; ++i) {
        const std::vector<Number> running = network.running();
        const Number paused = running[static_cast<std::size_t>(i) * 7 % running.size()];
        network.pause(paused);
        network.clock.advance(500ms);
        network.resume(paused);
        network.clock.advance(1500ms);
    }
    network.loss = 0;
    network.onView = nullptr;
    printFigure(prefix + "false_suspicions", static_cast<double>(suspected.size()), "in " + std::to_string(pauses * 2) + " s");
    printFigure(prefix + "false_deaths", static_cast<double>(lost.size()), "of " + std::to_string(size));
}

void measureInProcess(Number size)
{
    const std::string prefix = "membership.inprocess." + std::to_string(size) + '.';
    GossipNetwork network;
    for (Number number = 1; number <= size; ++number) {
        network.add(number, {1, 2, 3});
    }
    print(prefix + "form", waitUntil(network, [&] {
              return network.isConverged();
          }));
    network.clock.advance(30s);
    measureSteady(network, prefix, size);
    network.add(size + 1, {1});
    print(prefix + "join", waitUntil(network, [&] {
              return network.isConverged();
          }));
    network.clock.advance(30s);
    measureDeath(network, prefix, 2);
    network.clock.advance(30s);
    measureFalseSuspicions(network, prefix, size);
    print(prefix + "settle", waitUntil(network, [&] {
              return network.isConverged();
          }));
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const Number size : parseSizes(FLAGS_sizes)) {
        measureInProcess(size);
    }
    return 0;
}
