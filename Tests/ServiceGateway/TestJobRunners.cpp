#include <LibBase/Encoding.h>
#include <LibGateway/JobRows.h>
#include <LibWire/Codec.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

using namespace Dogwoodkeel;

namespace
{

constexpr double smallShare = 0.12;
constexpr double largeShare = 0.5;
/** Longer than a node follows the open jobs after its last run has ended. */
constexpr std::chrono::seconds longAfterStart{60};

std::size_t runsOf(RunningGateway &running)
{
    return running.host.ask<std::size_t>([](GatewayBench &bench) {
        return bench.replicas.front()->heads.size();
    });
}

/** Starts a small node and a large one, and waits until the small one no longer follows the open jobs. */
void startSmallBesideLarge(RunningGateway &running)
{
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.clock.shift(longAfterStart);
        bench.settings.gateway.processorShare = largeShare;
        bench.startOther();
        return true;
    });
    await([&running] {
        return running.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->readyMembers() == 2 && bench.other->readyMembers() == 2;
        });
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
}

const JobId lateJob("late");

void putHead(GatewayBench &bench)
{
    JobContent content;
    content.items.push_back(JobRows::recordOf({ItemId("a"), "/b/a", {}, "x", 9}));
    JobHead head;
    head.route = "batch";
    head.host = "h";
    head.total = 1;
    head.contentChunks = 1;
    bench.store.rows().put(JobRows::head(lateJob), encode(head));
    bench.store.rows().put(JobRows::contentChunk(lateJob, 0), encode(content));
}

void putOpenRow(GatewayBench &bench, SessionNumber runner)
{
    bench.store.rows().put(JobRows::open(lateJob), encode(OpenJob{"batch", {}, 9, runner}));
}

/** Writes the rows of a job as a node does that accepts it. */
void putJob(GatewayBench &bench, SessionNumber runner)
{
    putHead(bench);
    putOpenRow(bench, runner);
}

/** Changes the open row of the job so that it names the node as its runner. */
void nameRunner(GatewayBench &bench, const Gateway &node)
{
    const RowKey key = JobRows::open(JobId("q1"));
    for (const StoredRow &row : bench.store.rows().rowsOf(key.table)) {
        if (row.key == key) {
            OpenJob open = decode<OpenJob>(row.value).value();
            open.runner = node.session();
            bench.store.rows().put(key, encode(open));
        }
    }
}

} // namespace

// Guards against an item that never runs again: two nodes ran one job and each learned of the other, so the row named a node that
// had stopped its run. That node no longer followed the open jobs, as its VM is too small to take jobs over.
TEST_CASE("a node that is too small to take jobs over still runs one that names it as its runner")
{
    RunningGateway running([](GatewayBench &bench) {
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
    // After this time the node would no longer follow the jobs if it ran none.
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

// Guards against items that never run: the write of an acceptance took effect after its answer was lost. The row named a node
// that did not run the job and did not follow the open jobs, and the others left the job to that node.
TEST_CASE("a job whose row names a node that does not know of it is run")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", ignore);
        bench.settings.gateway.processorShare = smallShare;
    });
    startSmallBesideLarge(running);
    running.host.ask<bool>([](GatewayBench &bench) {
        putJob(bench, bench.gateway->session());
        return true;
    });
    await([&running] {
        return runsOf(running) == 1;
    });
}

// The node that accepted a job started another session before its write took effect, so the row names no member.
TEST_CASE("a job whose row names a session that was never a member is run")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", ignore);
        bench.settings.gateway.processorShare = smallShare;
    });
    startSmallBesideLarge(running);
    running.host.ask<bool>([](GatewayBench &bench) {
        putJob(bench, randomSession());
        return true;
    });
    await([&running] {
        return runsOf(running) == 1;
    });
}

// Guards against a job that never runs: a run ended because the store had answered with data from before the job. The node
// dropped its copy of the open row with the run, and started no other run.
TEST_CASE("a job that the store does not show at first is run once it does")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", ignore);
        putOpenRow(bench, randomSession());
    });
    await([&running] {
        return has(running.metrics(), "run of a job ended: the store has no such job");
    });
    running.host.ask<bool>([](GatewayBench &bench) {
        putHead(bench);
        return true;
    });
    await([&running] {
        return runsOf(running) == 1;
    });
}
