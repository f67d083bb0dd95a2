#include <LibGateway/JobRows.h>
#include <LibWire/Codec.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

const JobId job("q1");
constexpr std::chrono::milliseconds endBound{200};

std::string submission()
{
    return nlohmann::json{{"requests", {{{"id", "a"}, {"path", "/b/a"}, {"body", ""}, {"tokens", 9}}}}}.dump();
}

/** @return the default configuration without limits on jobs, so that jobs are accepted without counting the open ones. */
std::string withoutJobLimit()
{
    nlohmann::json configuration = nlohmann::json::parse(benchConfiguration);
    for (nlohmann::json &route : configuration["routes"]) {
        route.erase("maxCount");
    }
    return configuration.dump();
}

/** Marks the job as ended in its head, as another node does for its caller. */
void endHead(GatewayBench &bench)
{
    for (const StoredRow &row : bench.store.rows().rowsOf(JobRows::jobTable)) {
        if (row.key == JobRows::head(job)) {
            JobHead head = decode<JobHead>(row.value).value();
            head.isEnded = true;
            bench.store.rows().put(row.key, encode(head));
        }
    }
}

/** A node with one replica that does not answer until the test sends the answer. */
class NodeWithWaitingReplica : public RunningGateway
{
public:
    explicit NodeWithWaitingReplica(const std::string &configuration = benchConfiguration)
        : RunningGateway([this, &configuration](GatewayBench &bench) {
            bench.configure(configuration);
            bench.settings.gateway.jobEndBound = endBound;
            bench.addReplica("i-1", "llm", [this](const std::shared_ptr<CallerExchange> &exchange) {
                this->held.push_back(exchange);
            });
        })
    {
    }

    ~NodeWithWaitingReplica()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->held.clear();
            return true;
        });
    }

    std::size_t sent()
    {
        return this->host.ask<std::size_t>([](GatewayBench &bench) {
            return bench.replicas.front()->heads.size();
        });
    }

    bool hasRunEnded()
    {
        return has(this->metrics(), "run of a job ended");
    }

    std::vector<std::shared_ptr<CallerExchange>> held;
};

} // namespace

// The runner is not notified that its job was ended: the datagram was lost, and changes of the open jobs arrive late.
TEST_CASE("an item that waited for its slot is not sent once its job was ended, although its runner was not notified")
{
    NodeWithWaitingReplica running;
    RawConnection first(running.address(&Gateway::callerAddress));
    RawConnection second(running.address(&Gateway::callerAddress));
    for (RawConnection *caller : {&first, &second}) {
        caller->send("POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nContent-Length: 0\r\n\r\n");
    }
    await([&running] {
        return running.sent() == 2;
    });
    REQUIRE(running.call("POST /b/job", {}, submission()).starts_with("HTTP/1.1 202"));
    await([&running] {
        return has(running.metrics(), "llm_batch_waiting\"} 1");
    });
    running.host.ask<bool>([](GatewayBench &bench) {
        endHead(bench);
        return true;
    });
    std::this_thread::sleep_for(endBound);
    running.host.ask<bool>([&running](GatewayBench &) {
        sendEvents(running.held.front(), 3);
        running.held.front()->end();
        return true;
    });
    await([&running] {
        return running.hasRunEnded() || running.sent() > 2;
    });
    CHECK(running.sent() == 2);
}

// The store drops its history between a job's acceptance and its end, so the runner reads neither the row nor its removal.
TEST_CASE("a run whose job's row was never read ends once a complete snapshot of the open jobs lacks it")
{
    NodeWithWaitingReplica running(withoutJobLimit());
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.store.setUnavailableTable(JobRows::openTable);
        return true;
    });
    REQUIRE(running.call("POST /b/job", {}, submission()).starts_with("HTTP/1.1 202"));
    await([&running] {
        return running.sent() == 1;
    });
    running.host.ask<bool>([](GatewayBench &bench) {
        endHead(bench);
        bench.store.rows().remove(JobRows::open(job));
        bench.store.rows().dropHistory();
        bench.store.setUnavailableTable({});
        return true;
    });
    await([&running] {
        return running.hasRunEnded();
    });
}
