#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

#include <map>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** A dispatcher of equal replicas with requests that are placed at once. */
class Service
{
public:
    Service(std::size_t count, CapacityLearning mode)
        : dispatcher(this->clock,
                     {.place =
                          [this](TicketId id, const EndpointName &replica) {
                              this->placed[id.number] = replica;
                              ++this->counts[replica];
                          },
                      .stop = [](TicketId) {},
                      .refuse = [](TicketId, std::chrono::milliseconds) {}},
                     {mode, false})
    {
        this->clock.advance(1h);
        this->dispatcher.setReplicas(equalReplicas(count, 4));
    }

    std::uint64_t submit(WorkClass work = WorkClass::Online, std::chrono::milliseconds slack = 10s)
    {
        PlacementRequest request;
        request.id = {SessionNumber(1), ++this->last};
        request.work = work;
        request.arrived = this->clock.now();
        request.due = request.arrived + slack;
        request.deadline = request.arrived + 1h;
        this->dispatcher.submit(request);
        return this->last;
    }

    void end(std::uint64_t number, const RunTiming &timing)
    {
        this->dispatcher.end({SessionNumber(1), number}, PlacementVerdict::Finished, timing);
    }

    /** Serves requests in groups; a replica whose number is below a bound answers errors at once. */
    void serve(int groups, int size, std::size_t failing)
    {
        for (int group = 0; group < groups; ++group) {
            const std::uint64_t first = this->last + 1;
            for (int request = 0; request < size; ++request) {
                this->submit();
            }
            this->clock.advance(100ms);
            for (std::uint64_t number = first; number <= this->last; ++number) {
                REQUIRE(this->placed.contains(number));
                const bool isError = std::stoul(this->placed[number].value().substr(1)) < failing;
                this->end(number, isError ? RunTiming{1ms, 0ms, 1, 0, true} : RunTiming{20ms, 80ms, 21, 0, false});
            }
            this->dispatcher.tick();
        }
    }

    ManualClock clock;
    std::map<std::uint64_t, EndpointName> placed;
    std::map<EndpointName, int> counts;
    std::uint64_t last = 0;
    Dispatcher dispatcher;
};

/** What nodes measured of r0 to r3: r0 is fast, r1 is slow. */
std::vector<ReplicaTiming> unevenTimings()
{
    std::vector<ReplicaTiming> timings;
    for (const auto &[name, perEvent] :
         std::map<std::string, std::chrono::milliseconds>{{"r0", 10ms}, {"r1", 90ms}, {"r2", 30ms}, {"r3", 31ms}}) {
        timings.push_back({nameHashOf(EndpointName(name)), perEvent, 50ms, 10});
    }
    return timings;
}

} // namespace

// Guards against a replica that answers errors quickly, looks free and fast, and gets most requests.
TEST_CASE("a replica that answers errors gets probes only")
{
    Service service(4, CapacityLearning::Always);
    service.serve(20, 10, 1);
    MESSAGE("requests at the failing replica: ", service.counts[EndpointName("r0")], " of 200");
    CHECK(service.counts[EndpointName("r0")] < 20);
    CHECK(service.dispatcher.load().learned.blocked == 1);
    service.clock.advance(2s);
    service.serve(60, 10, 0);
    CHECK(service.dispatcher.load().learned.blocked == 0);
    CHECK(service.counts[EndpointName("r0")] > 30);
}

// Guards against an error of all replicas, such as a wrong request, that blocks the service.
TEST_CASE("at most half of the slots are blocked for errors")
{
    Service service(4, CapacityLearning::Always);
    service.serve(40, 8, 4);
    CHECK(service.dispatcher.load().learned.blocked == 2);
}

// Guards against a new dispatcher that takes slow and fast replicas for equal, also before a replica has stated its pace.
TEST_CASE("a new dispatcher uses what nodes have measured, if the replicas state their pace")
{
    for (const std::uint32_t pace : {0, 100}) {
        Service service(4, CapacityLearning::Stated);
        service.dispatcher.recordTimings(unevenTimings());
        service.dispatcher.recordLoad(EndpointName("r2"), {0, 0}, pace);
        for (int request = 0; request < 4; ++request) {
            service.submit();
        }
        CHECK(service.counts[EndpointName("r0")] == (pace == 0 ? 1 : 4));
        CHECK(service.dispatcher.load().learned.slowest > (pace == 0 ? 0.9 : 2));
    }
}

// Guards against items that use fast replicas while they could wait, and against late items on slow ones.
TEST_CASE("items with little slack go to fast replicas, others to slow ones")
{
    Service service(4, CapacityLearning::Always);
    service.dispatcher.recordTimings(unevenTimings());
    CHECK(service.placed[service.submit(WorkClass::Batch, 10s)] == EndpointName("r1"));
    CHECK(service.placed[service.submit(WorkClass::Batch, 1s)] == EndpointName("r0"));
}

// Guards against learning where a deployment did not ask for it.
TEST_CASE("nothing is learned without a stated pace, or if it is switched off")
{
    Service unstated(2, CapacityLearning::Stated);
    unstated.serve(25, 4, 1);
    CHECK(unstated.counts[EndpointName("r0")] == 50);
    Service never(2, CapacityLearning::Never);
    never.dispatcher.recordTimings(unevenTimings());
    never.dispatcher.recordLoad(EndpointName("r0"), {0, 0}, 250);
    never.serve(25, 4, 1);
    CHECK(never.counts[EndpointName("r0")] == 50);
}
