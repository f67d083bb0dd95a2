#include <Tests/ServiceGateway/RunningGateway.h>

using namespace Dogwoodkeel;

// Two of many nodes that start at once draw the same number. Each would take the other's rows, places and news for its own: one
// of them gets no callers, requests are placed twice, and the runner of a job can't be told from another node.
TEST_CASE("two nodes that drew one number go on under others, and both serve")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", streamWhole);
        bench.newSession = [drawn = 0]() mutable {
            constexpr int namesakes = 2;
            return SessionNumber(static_cast<std::uint64_t>(std::max(namesakes, ++drawn)));
        };
        bench.startOther();
    });
    await([&running] {
        return running.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->members() == 2 && bench.other->members() == 2;
        });
    });
    const Address other = running.host.ask<Address>([](GatewayBench &bench) {
        return bench.other->callerAddress();
    });
    await([&other] {
        RawConnection caller(other);
        caller.send("POST /r/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q\r\nX-Deadline-Ms: 20000\r\n\r\n");
        return has(caller.readAll(), "data: t3");
    });
    CHECK(has(running.call("POST /r/b"), "data: t3"));
}
