#include <Tests/ServiceGateway/RunningGateway.h>

#include <nlohmann/json.hpp>

using namespace Dogwoodkeel;

namespace
{

/** A gateway whose replicas break off the first request that each of them gets, and serve all later ones. */
class ReplicasThatFailOnce : public RunningGateway
{
public:
    explicit ReplicasThatFailOnce(int replicasPerService)
        : RunningGateway([replicasPerService](GatewayBench &bench) {
            for (int number = 1; number <= replicasPerService; ++number) {
                bench.addReplica("i-llm-" + std::to_string(number), "llm", failingOnce(streamWhole));
                bench.addReplica("i-api-" + std::to_string(number), "api", failingOnce(answerWhole));
            }
        })
    {
    }

private:
    static StandInReplica::Script failingOnce(const StandInReplica::Script &script)
    {
        return [script, hasFailed = false](const std::shared_ptr<CallerExchange> &exchange) mutable {
            if (std::exchange(hasFailed, true)) {
                script(exchange);
            } else {
                exchange->abort();
            }
        };
    }
};

} // namespace

// Each replica of the service failed the item once, and is sound since. The item stays accepted, so it has to be sent again.
TEST_CASE("an item that failed once at every replica of its service is completed")
{
    for (const int replicas : {1, 2}) {
        ReplicasThatFailOnce running(replicas);
        const nlohmann::json job{{"requests", {{{"id", "a"}, {"path", "/b/a"}, {"body", ""}, {"tokens", 9}}}}};
        REQUIRE(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
        await([&running] {
            return has(running.call("GET /lots/q1?afterRev=0"), R"("state":"completed")");
        });
    }
}

// The only replica of the service failed the request once. It would wait for another one until its deadline.
TEST_CASE("a request that may be repeated is sent again to the only replica of its service")
{
    ReplicasThatFailOnce running(1);
    CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 200"));
    CHECK(has(running.call("POST /r/x"), "id: 3\n"));
}
