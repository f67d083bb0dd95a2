#include <LibBase/SystemClock.h>
#include <LibDispatch/Dispatcher.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <benchmark/benchmark.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

// Measures the processor time that a dispatcher spends on one online request: the request for a slot, the load report of its
// replica, and its end, which passes the slot to a waiting request. Arguments: numbers of replicas and of waiting requests, and
// whether the capacity of the replicas is learned.

using namespace Dogwoodkeel;

namespace
{

constexpr std::uint32_t slots = 7;
/** Number of replicas to which a requesting node has an open connection. */
constexpr std::size_t connectedCount = 8;

/** A dispatcher whose slots are all in use if requests wait, and all but one otherwise. */
class FullService
{
public:
    FullService(std::size_t replicaCount, std::size_t waiting, bool isCapacityLearned)
        : dispatcher(this->clock,
                     {.place =
                          [this](TicketId id, const EndpointName &replica) {
                              this->placed.emplace_back(id, replica);
                          },
                      .stop = [](TicketId) {},
                      .refuse = [](TicketId, std::chrono::milliseconds) {}},
                     {isCapacityLearned ? CapacityLearning::Always : CapacityLearning::Never, true})
        , replicas(equalReplicas(replicaCount, slots))
    {
        this->dispatcher.setReplicas(this->replicas);
        const std::size_t running = replicaCount * slots - (waiting == 0 ? 1 : 0);
        for (std::size_t number = 0; number < running + waiting; ++number) {
            this->submitRequest();
        }
    }

    void serveOne()
    {
        this->submitRequest();
        const auto [id, replica] = this->placed.front();
        this->placed.pop_front();
        this->dispatcher.recordLoad(replica, {slots, 0}, 100);
        // Times that differ from replica to replica and from run to run.
        const std::chrono::microseconds perEvent(20000 + 4000 * (nameHashOf(replica) % 8) + 100 * (this->last % 16));
        this->dispatcher.end(id, PlacementVerdict::Finished, {perEvent, perEvent * 20, 21, 100, false});
    }

    void tick()
    {
        this->dispatcher.tick();
    }

private:
    void submitRequest()
    {
        PlacementRequest request;
        request.id = {SessionNumber(1), ++this->last};
        request.arrived = this->clock.now();
        request.due = request.arrived + std::chrono::hours(1);
        request.deadline = request.due;
        for (std::size_t number = 0; number < connectedCount; ++number) {
            request.connected.push_back(nameHashOf(this->replicas[(this->last + number) % this->replicas.size()].instance));
        }
        this->dispatcher.submit(request);
    }

    SystemClock clock;
    std::deque<std::pair<TicketId, EndpointName>> placed;
    Dispatcher dispatcher;
    std::vector<DispatchReplica> replicas;
    std::uint64_t last = 0;
};

void serveOne(benchmark::State &state)
{
    FullService service(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)), state.range(2) != 0);
    for (auto _ : state) {
        service.serveOne();
    }
}

void tickOnce(benchmark::State &state)
{
    FullService service(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)), state.range(2) != 0);
    for (auto _ : state) {
        service.tick();
    }
}

} // namespace

BENCHMARK(serveOne)->ArgsProduct({{9, 127, 400, 1800}, {0, 100, 1000}, {0, 1}})->Unit(benchmark::kMicrosecond);
BENCHMARK(tickOnce)->ArgsProduct({{9, 127, 400, 1800}, {0, 100, 1000, 10000}, {0, 1}})->Unit(benchmark::kMicrosecond);

int main(int argc, char **argv)
{
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
