#include <Tests/ServiceGateway/RunningGateway.h>

#include <LibBase/Encoding.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr int rounds = 8;
constexpr int brokenAfter = 2;

/** A replica that crashes in the middle of each stream that it begins, and completes those that go on at it. */
void crashUnlessResumed(const std::shared_ptr<CallerExchange> &exchange)
{
    if (exchange->head().headers.find("Last-Event-Id")) {
        streamWhole(exchange);
        return;
    }
    sendEvents(exchange, brokenAfter);
    exchange->breakOff();
}

/** Registers replicas whose versions alternate in the order of their names. */
void addReplicas(GatewayBench &bench, int ofEachVersion, const StandInReplica::Script &script)
{
    for (int number = 1; number <= ofEachVersion; ++number) {
        for (const char *const version : {"v1", "v2"}) {
            bench.version = version;
            bench.addReplica("i-" + std::to_string(number) + "-" + version, "llm", script);
        }
    }
}

/** @return the versions of the replicas that got a request with that id, and with a Last-Event-Id if it is asked for. */
std::multiset<std::string> versionsOf(RunningGateway &running, const std::string &id, bool isResumed)
{
    return running.host.ask<std::multiset<std::string>>([&id, isResumed](GatewayBench &bench) {
        std::multiset<std::string> versions;
        for (const std::unique_ptr<StandInReplica> &replica : bench.replicas) {
            for (const MessageHead &head : replica->heads) {
                if (head.headers.find("X-Request-Id") == id && head.headers.find("Last-Event-Id").has_value() == isResumed) {
                    const std::string instance(head.headers.find("X-Expect-Instance").value_or(""));
                    versions.insert(instance.substr(instance.rfind('-') + 1));
                }
            }
        }
        return versions;
    });
}

std::string requestHead(const std::string &id, const std::string &more)
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 20000\r\n" + more
        + "Content-Length: 0\r\n\r\n";
}

/** @return the usual configuration, in which streams may have begun no longer than a moment ago. */
std::string withShortTimeouts()
{
    nlohmann::json configuration = nlohmann::json::parse(benchConfiguration);
    for (nlohmann::json &route : configuration["routes"]) {
        route["timeoutMs"] = 300;
    }
    return configuration.dump();
}

/** Two nodes that know each other, before replicas of two versions. */
class TwoNodes : public RunningGateway
{
public:
    TwoNodes(int ofEachVersion, const StandInReplica::Script &script)
        : RunningGateway([ofEachVersion, &script](GatewayBench &bench) {
            addReplicas(bench, ofEachVersion, script);
            bench.startOther();
        })
    {
        await([this] {
            return this->host.ask<bool>([](GatewayBench &bench) {
                return bench.gateway->readyMembers() == 2 && bench.other->readyMembers() == 2;
            });
        });
    }

    Address addressOfOther()
    {
        return this->host.ask<Address>([](GatewayBench &bench) {
            return bench.other->callerAddress();
        });
    }

    /** Begin a stream at the first node and read its first events. @return the version that began it */
    std::string begin(RawConnection &caller, const std::string &id)
    {
        caller.send(requestHead(id, {}));
        caller.readUntil("id: 2\n");
        const std::multiset<std::string> versions = versionsOf(*this, id, false);
        REQUIRE(versions.size() == 1);
        return *versions.begin();
    }

    /** Take a stream up at the second node. @return the whole answer */
    std::string takeUpAtOther(const std::string &id, const std::string &resumed)
    {
        RawConnection caller(this->addressOfOther());
        caller.send(requestHead(id, "Resumes: " + resumed + "\r\nLast-Event-Id: 2\r\n"));
        return caller.readAll();
    }
};

/** A replica that leaves each stream that it begins open, and completes those that go on at it. */
StandInReplica::Script openUnlessResumed(std::vector<std::shared_ptr<CallerExchange>> &held)
{
    return [&held](const std::shared_ptr<CallerExchange> &exchange) {
        if (exchange->head().headers.find("Last-Event-Id")) {
            streamWhole(exchange);
            return;
        }
        sendEvents(exchange, brokenAfter);
        held.push_back(exchange);
    };
}

void release(RunningGateway &running, std::vector<std::shared_ptr<CallerExchange>> &held)
{
    running.host.ask<bool>([&held](GatewayBench &) {
        held.clear();
        return true;
    });
}

} // namespace

// A replica crashes in the middle of a stream while replicas of another version have room.
TEST_CASE("a stream goes on only at the software version that began it")
{
    RunningGateway running([](GatewayBench &bench) {
        addReplicas(bench, 2, crashUnlessResumed);
    });
    for (int round = 0; round < rounds; ++round) {
        const std::string id = "q" + std::to_string(round);
        RawConnection caller(running.address(&Gateway::callerAddress));
        caller.send(requestHead(id, {}));
        const std::string answer = caller.readAll();
        CHECK(has(answer, "id: 3\n"));
        CHECK(answer.ends_with("0\r\n\r\n"));
        CHECK(versionsOf(running, id, true) == versionsOf(running, id, false));
    }
}

// The only replica of its version crashes: what another version would write does not fit.
TEST_CASE("a stream whose software version is gone is broken off, and does not look complete")
{
    RunningGateway running([](GatewayBench &bench) {
        addReplicas(bench, 1, crashUnlessResumed);
    });
    RawConnection caller(running.address(&Gateway::callerAddress));
    caller.send(requestHead("q", {}));
    const std::string answer = caller.readAll();
    CHECK(has(answer, "id: 2\n"));
    CHECK_FALSE(has(answer, "id: 3\n"));
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(versionsOf(running, "q", true).empty());
}

// A caller loses its node and takes its streams up at another one.
TEST_CASE("a stream that a caller takes up at another node goes on at the software version that began it")
{
    std::vector<std::shared_ptr<CallerExchange>> held;
    TwoNodes running(2, openUnlessResumed(held));
    for (int round = 0; round < rounds; ++round) {
        const std::string first = "q" + std::to_string(round);
        const std::string again = "r" + std::to_string(round);
        RawConnection caller(running.address(&Gateway::callerAddress));
        const std::string version = running.begin(caller, first);
        const std::string answer = running.takeUpAtOther(again, first);
        CHECK(has(answer, "id: 3\n"));
        CHECK(versionsOf(running, again, true) == std::multiset<std::string>{version});
    }
    release(running, held);
}

// Nobody knows where the stream began, and two versions serve: any of them may be the wrong one.
TEST_CASE("a stream of unknown origin is refused at once while several software versions serve")
{
    std::vector<std::shared_ptr<CallerExchange>> held;
    TwoNodes running(1, openUnlessResumed(held));
    const std::string answer = running.takeUpAtOther("r", "unknown");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(has(answer, "Retry-After:"));
    CHECK(versionsOf(running, "r", true).empty());
    release(running, held);
}

// A batch item loses its replica, and only replicas of another version have room: its text must be of one version.
TEST_CASE("a batch item whose software version is gone begins anew")
{
    RunningGateway running([](GatewayBench &bench) {
        addReplicas(bench, 1, [crashed = std::make_shared<bool>(false)](const std::shared_ptr<CallerExchange> &exchange) {
            if (!std::exchange(*crashed, true)) {
                sendEvents(exchange, brokenAfter);
                exchange->breakOff();
                return;
            }
            streamWhole(exchange);
        });
    });
    const nlohmann::json job{{"requests", {{{"id", "a"}, {"path", "/b/a"}, {"body", encodeBase64("x")}, {"tokens", 9}}}}};
    REQUIRE(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
    await([&running] {
        return has(running.call("GET /lots/q1?afterRev=0"), R"("output":"t1\nt2\nt3","state":"completed")");
    });
    const std::multiset<std::string> begun = versionsOf(running, "a", false);
    for (const std::string &version : versionsOf(running, "a", true)) {
        CHECK(begun.contains(version));
    }
    CHECK(begun.size() + versionsOf(running, "a", true).size() >= 2);
}

// All nodes that knew where the stream began are lost, or its caller names no attempt; only one version has served since.
TEST_CASE("a stream of unknown origin goes on while one software version serves")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.configure(withShortTimeouts());
        bench.addReplica("i-1-v1", "llm", crashUnlessResumed);
    });
    std::string answer;
    await([&running, &answer] {
        RawConnection caller(running.address(&Gateway::callerAddress));
        caller.send(requestHead("r", "Last-Event-Id: 2\r\n"));
        answer = caller.readAll();
        return answer.starts_with("HTTP/1.1 200");
    });
    CHECK(has(answer, "id: 3\n"));
}
