#include <Tests/ServiceGateway/RunningGateway.h>

using namespace Dogwoodkeel;

// Guards against two nodes with one session number, which may happen when many nodes start at once. Each would treat the rows,
// slots and member updates of the other as its own: one of them gets no callers, requests are placed twice, and the node that
// runs a job can't be identified.
TEST_CASE("two nodes that drew the same session number draw new ones, and both serve")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", streamWhole);
        bench.newSession = [drawn = 0]() mutable {
            constexpr int drawsOfSameNumber = 2;
            return SessionNumber(static_cast<std::uint64_t>(std::max(drawsOfSameNumber, ++drawn)));
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
