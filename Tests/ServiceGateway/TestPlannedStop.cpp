#include <Tests/ServiceGateway/StoppingNode.h>

#include <memory>
#include <string>

using namespace Dogwoodkeel;

// All slots are taken while a node stops. Requests that waited for one were cut without an answer when the process ended.
TEST_CASE("a request that waits for a slot at a stopping node is refused as soon as it can't end in time")
{
    StoppingNode node;
    const auto running = node.fill();
    const std::unique_ptr<RawConnection> stream = node.connect();
    stream->send(requestText("/o/x", "waiting"));
    node.awaitWaiting(1);
    node.stop();
    node.advance(callersMoved);
    checkRefused(stream->readUntil("\r\n\r\n"));
    node.answerHeld();
    node.awaitStopped();
    CHECK_FALSE(node.hasReceived("waiting"));
}

// A request was passed on before the stop and its replica takes longer than the grace period: its connection was closed without
// an answer.
TEST_CASE("a request that still runs at the end of a stop is answered as one that may have run")
{
    for (const char *const target : {"/u/x", "/s/x"}) {
        CAPTURE(target);
        StoppingNode node;
        const std::unique_ptr<RawConnection> caller = node.sendToReplica(target, "slow");
        node.stop();
        node.advance(nearEnd);
        checkMayHaveRun(caller->readUntil("\r\n\r\n"));
        node.awaitStopped();
    }
}
