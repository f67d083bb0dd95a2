#include <Tests/ServiceGateway/StoppingNode.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace Dogwoodkeel;

// A caller kept using its connection. Its next requests were taken late in the grace period, and cut at the end of it.
TEST_CASE("the next request on a kept connection of a stopping node is refused if it can't end in time")
{
    for (const char *const target : {"/o/x", "/r/x", "/s/x", "/u/x"}) {
        CAPTURE(target);
        StoppingNode node;
        const std::unique_ptr<RawConnection> caller = keepConnection(node);
        caller->send(requestText(target, "late"));
        checkRefused(caller->readUntil("\r\n\r\n"));
        CHECK_FALSE(node.hasReceived("late"));
        node.awaitStopped();
    }
}

// The same with the request already in the node's buffer while the stream before it runs.
TEST_CASE("a request pipelined behind a stream of a stopping node is refused if it can't end in time")
{
    StoppingNode node;
    const std::unique_ptr<RawConnection> caller = node.startStream("first");
    caller->send(requestText("/u/x", "late"));
    node.stop();
    node.advance(callersMoved);
    node.answerHeld();
    dropStream(*caller);
    checkRefused(caller->readUntil("\r\n\r\n"));
    CHECK_FALSE(node.hasReceived("late"));
}

// A request whose body was still arriving when its node began to stop was passed on late in the grace period, and cut.
TEST_CASE("a request whose body arrives late at a stopping node is refused if it can't end in time")
{
    StoppingNode node;
    const std::unique_ptr<RawConnection> caller = node.connect();
    caller->send("POST /u/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\nX-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nab");
    node.stop();
    node.advance(callersMoved);
    caller->send("cd");
    checkRefused(caller->readUntil("\r\n\r\n"));
    CHECK_FALSE(node.hasReceived("late"));
}

// A node that refused all late requests would turn away those that it can still serve.
TEST_CASE("a late request whose deadline is before the end of the stop is served")
{
    StoppingNode node;
    const std::unique_ptr<RawConnection> caller = keepConnection(node);
    caller->send(requestText("/u/x", "late", shortDeadline));
    await([&node] {
        return node.hasReceived("late");
    });
    node.answerHeld();
    const std::string answer = caller->readAll();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(has(answer, "Connection: close\r\n"));
    node.awaitStopped();
}

// Calls of batch jobs came late on a kept connection while the store was slow, and were cut with the process.
TEST_CASE("a late call of a batch job at a stopping node is refused if it can't end in time")
{
    StoppingNode node;
    const std::unique_ptr<RawConnection> caller = keepConnection(node);
    caller->send("DELETE /lots/none HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\nX-Deadline-Ms: 20000\r\n\r\n");
    checkRefused(caller->readUntil("\r\n\r\n"));
    node.awaitStopped();
}

// A job was being submitted when the last answers were due: its caller was cut off and could not know that it may be accepted.
TEST_CASE("a submission whose outcome is unknown at the end of a stop is answered as one that may have been accepted")
{
    StoppingNode node;
    node.host.ask<bool>([](GatewayBench &bench) {
        bench.store.setResponseMode(StandInStore::ResponseMode::Unresponsive);
        return true;
    });
    const std::unique_ptr<RawConnection> caller = node.connect();
    const std::string job = R"({"requests":[{"id":"a","path":"/b/a","body":"","tokens":9}]})";
    caller->send("POST /b/job HTTP/1.1\r\nHost: h\r\nX-Request-Id: openjob\r\nX-Deadline-Ms: 20000\r\nContent-Length: "
                 + std::to_string(job.size()) + "\r\n\r\n" + job);
    await([&node] {
        return node.host.ask<bool>([](GatewayBench &bench) {
            return std::ranges::any_of(bench.store.unanswered, [](const std::string &request) {
                return has(request, "openjob");
            });
        });
    });
    node.stop();
    node.advance(nearEnd);
    checkMayHaveRun(caller->readUntil("\r\n\r\n"));
    node.awaitStopped();
}
