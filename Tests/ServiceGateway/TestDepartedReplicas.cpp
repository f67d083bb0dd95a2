#include <Tests/ServiceGateway/RunningGateway.h>

using namespace Dogwoodkeel;

namespace
{

/** Longer than any test takes, so that an entry that is kept as lapsed stays. */
constexpr std::chrono::minutes keptLong{1};

/** A node with three replicas. */
class DepartureBench : public RunningGateway
{
public:
    DepartureBench(const std::string &service, const StandInReplica::Script &script)
        : RunningGateway([&service, &script](GatewayBench &bench) {
            bench.settings.gateway.lapsedKept = keptLong;
            // However long the outage of a test takes, no heartbeat times out in it.
            bench.settings.gateway.heartbeatInterval = keptLong;
            bench.addReplica("i-1", service, script);
            bench.addReplica("i-2", service, script);
            bench.addReplica("i-3", service, script);
        })
    {
        this->awaitKnown(3);
    }

    /** The store refuses all calls for a moment, in which a replica leaves that never reports that it drains. */
    void removeInOutage(const std::string &instance, bool isHistoryLost)
    {
        this->setResponseMode(StandInStore::ResponseMode::Busy);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        this->host.ask<bool>([&instance, isHistoryLost](GatewayBench &bench) {
            bench.store.rows().remove({"servers", "", instance});
            if (isHistoryLost) {
                bench.store.rows().dropHistory();
            }
            return true;
        });
        this->setResponseMode(StandInStore::ResponseMode::Serving);
    }

    void awaitKnown(std::size_t count)
    {
        await([this, count] {
            return this->host.ask<bool>([count](GatewayBench &bench) {
                return bench.gateway->knownReplicas() == count;
            });
        });
    }

    /** @return the number of requests that reached the replica that was added first. */
    std::size_t requestsAtFirst()
    {
        return this->host.ask<std::size_t>([](GatewayBench &bench) {
            return bench.replicas[0]->heads.size();
        });
    }

private:
    void setResponseMode(StandInStore::ResponseMode responseMode)
    {
        this->host.ask<bool>([responseMode](GatewayBench &bench) {
            bench.store.setResponseMode(responseMode);
            return true;
        });
    }
};

} // namespace

// Guards against requests to a replica that has left: its entry is removed while the nodes can't reach the store for a moment.
TEST_CASE("a replica that leaves during a short outage of the store is not used after the store's return")
{
    DepartureBench running("api", answerWhole);
    running.removeInOutage("i-1", false);
    running.awaitKnown(2);
    for (int request = 0; request < 4; ++request) {
        CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(running.requestsAtFirst() == 0);
}

// Guards against requests to a replica that has left: the pending calls are cut, and the history that holds its removal is lost.
TEST_CASE("a replica that leaves before the store drops its history is not used after the table was read again")
{
    DepartureBench running("llm", streamWhole);
    running.removeInOutage("i-1", true);
    running.awaitKnown(2);
    for (int request = 0; request < 4; ++request) {
        CHECK(running.call("POST /r/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(running.requestsAtFirst() == 0);
}
