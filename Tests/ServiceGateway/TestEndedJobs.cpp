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

/** @return the usual configuration, in which jobs are accepted without counting those that are open. */
std::string withoutJobLimit()
{
    nlohmann::json configuration = nlohmann::json::parse(benchConfiguration);
    for (nlohmann::json &route : configuration["routes"]) {
        route.erase("maxCount");
    }
    return configuration.dump();
}

/** Write into the job's head that it was ended, as another node does for its caller. */
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

/** A node before one replica that leaves its callers waiting. */
class Waiting : public RunningGateway
{
public:
    explicit Waiting(const std::string &configuration = benchConfiguration)
        : RunningGateway([this, &configuration](GatewayBench &bench) {
            bench.configure(configuration);
            bench.settings.gateway.jobEndBound = endBound;
            bench.addReplica("i-1", "llm", [this](const std::shared_ptr<CallerExchange> &exchange) {
                this->held.push_back(exchange);
            });
        })
    {
    }

    ~Waiting()
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

// Nothing tells the runner that its job was ended: the datagram was lost, and the table of open jobs is late.
TEST_CASE("an item that waited for its place is not sent once its job was ended, though nothing told its runner")
{
    Waiting running;
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

// The store drops its history between a job's acceptance and its end: the runner never reads the row, nor that it was removed.
TEST_CASE("a run whose job's row was never seen ends once a whole reading of the open jobs lacks it")
{
    Waiting running(withoutJobLimit());
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.store.withhold(JobRows::openTable);
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
        bench.store.withhold({});
        return true;
    });
    await([&running] {
        return running.hasRunEnded();
    });
}
