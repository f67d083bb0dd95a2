#include <LibBase/Encoding.h>
#include <LibGateway/JobRows.h>
#include <LibWire/Codec.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <nlohmann/json.hpp>

using namespace Dogwoodkeel;

namespace
{

constexpr double smallShare = 0.12;
constexpr double largeShare = 0.5;

std::size_t runsOf(Running &running)
{
    return running.host.ask<std::size_t>([](GatewayBench &bench) {
        return bench.replicas.front()->heads.size();
    });
}

/** Write that a node runs the job, as if it had. */
void nameRunner(GatewayBench &bench, const Gateway &node)
{
    const RowPlace place = JobRows::open(JobId("q1"));
    for (const StoredRow &row : bench.store.rows().rowsOf(place.table)) {
        if (row.place == place) {
            OpenJob open = decode<OpenJob>(row.value).value();
            open.runner = node.session();
            bench.store.rows().put(place, encode(open));
        }
    }
}

} // namespace

// Two nodes took one job and each heard of the other: the row named a node that had given the job up and did not follow the open
// jobs any more, as its VM is too small to take jobs over. The item was never run again.
TEST_CASE("a node that is too small to take jobs over still takes up one that names it as its runner")
{
    Running running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", ignore);
        bench.settings.gateway.processorShare = largeShare;
        bench.startOther();
        bench.settings.gateway.processorShare = smallShare;
    });
    await([&running] {
        return running.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->readyMembers() == 2 && bench.other->readyMembers() == 2;
        });
    });
    const nlohmann::json job{{"requests", {{{"id", "a"}, {"path", "/b/a"}, {"body", encodeBase64("x")}, {"tokens", 9}}}}};
    CHECK(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
    await([&running] {
        return runsOf(running) == 1;
    });
    // By now it would have ended to follow the jobs if it ran none.
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    running.host.ask<bool>([](GatewayBench &bench) {
        nameRunner(bench, *bench.other);
        return true;
    });
    await([&running] {
        return runsOf(running) == 2;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    running.host.ask<bool>([](GatewayBench &bench) {
        nameRunner(bench, *bench.gateway);
        return true;
    });
    await([&running] {
        return runsOf(running) == 3;
    });
}
