#include <LibBase/Encoding.h>
#include <Tests/Fakes/ScriptedEndpoint.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr const char *unframedHead = "HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n";

/** A base class, as the endpoints have to exist before the node is created. */
struct Endpoints
{
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
};

/** A gateway whose replicas write streams without a length or chunks, which end when the connection is closed. */
class UnframedReplicas : private Endpoints, public RunningGateway
{
public:
    /** @param firstBody what the first run writes after its head before its replica crashes */
    explicit UnframedReplicas(const std::string &firstBody)
        : RunningGateway([this, &firstBody](GatewayBench &bench) {
            const auto crashed = std::make_shared<bool>(false);
            for (const char *const instance : {"i-1", "i-2"}) {
                this->endpoints.push_back(std::make_unique<ScriptedEndpoint>(
                    bench.loop, [crashed, firstBody](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
                        exchange->raw(unframedHead);
                        const bool isResumed = has(exchange->head, "Last-Event-Id: 1");
                        if (!std::exchange(*crashed, true)) {
                            exchange->raw(firstBody);
                        } else {
                            exchange->raw(isResumed ? "" : "id: 1\ndata: t1\n\n");
                            exchange->raw("id: 2\ndata: t2\n\n");
                        }
                        exchange->close();
                    }));
                bench.registerReplica(instance, "llm", this->endpoints.back()->address(), "ready");
            }
        })
    {
    }

    ~UnframedReplicas()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->endpoints.clear();
            return true;
        });
    }

    void awaitCrash()
    {
        await([this] {
            return has(this->metrics(), "request met a crash\"} 1");
        });
    }
};

} // namespace

// The connection is closed as after a complete stream; only the incomplete event shows the crash.
TEST_CASE("a stream without a length that ends inside an event is resumed, and its replica counts as crashed")
{
    UnframedReplicas running("id: 1\ndata: t1\n\nid: 2\nda");
    const std::string answer = running.call("POST /r/x");
    CHECK(has(answer, "id: 1\ndata: t1\n\n"));
    CHECK(has(answer, "id: 2\ndata: t2\n\n"));
    CHECK(answer.find("id: 2") == answer.rfind("id: 2"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    running.awaitCrash();
}

// The replica crashes when it starts to write, so the body is empty and contains no incomplete event.
TEST_CASE("a stream without a length that ends before its first event is not complete, and its replica counts as crashed")
{
    UnframedReplicas running("");
    const std::string answer = running.call("POST /r/x");
    CHECK(has(answer, "id: 1\ndata: t1\n\n"));
    CHECK(has(answer, "id: 2\ndata: t2\n\n"));
    running.awaitCrash();
}

TEST_CASE("a batch item's stream without a length that ends before its first event is not stored as its output")
{
    UnframedReplicas running("");
    const nlohmann::json job{{"requests", {{{"id", "a"}, {"path", "/b/a"}, {"body", encodeBase64("x")}, {"tokens", 9}}}}};
    REQUIRE(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
    std::string read;
    await([&running, &read] {
        read = running.call("GET /lots/q1?afterRev=0");
        return has(read, "\"next\":1");
    });
    CHECK(has(read, R"("output":"t1\nt2","state":"completed")"));
    running.awaitCrash();
}
