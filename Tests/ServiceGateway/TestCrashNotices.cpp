#include <Tests/ServiceGateway/RunningGateway.h>

#include <string>

using namespace Dogwoodkeel;

namespace
{

constexpr int crashes = 3;

std::string sendTo(const Address &address)
{
    RawConnection caller(address);
    caller.send("POST /u/poison HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q\r\nX-Deadline-Ms: 20000\r\n"
                "Content-Length: 1\r\n\r\nx");
    return caller.readAll();
}

std::string metricsOf(const Address &address)
{
    RawConnection reader(address);
    reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return reader.readAll();
}

} // namespace

// Crashes are published only to the members present. A node that joins later would send the request to one replica after another.
TEST_CASE("a request that crashed three replicas is refused by a node that was started after the crashes")
{
    RunningGateway running([](GatewayBench &bench) {
        // One replica more than crashes, as each replica crashes once.
        for (int number = 0; number <= crashes; ++number) {
            const std::string name = "i-" + std::to_string(number);
            bench.addReplica(name, "api", [&bench, name](const std::shared_ptr<CallerExchange> &exchange) {
                bench.endReplica(name);
                exchange->abort();
            });
        }
    });
    const auto runCount = [&running] {
        return running.host.ask<std::size_t>([](GatewayBench &bench) {
            std::size_t count = 0;
            for (const std::unique_ptr<StandInReplica> &replica : bench.replicas) {
                count += replica->heads.size();
            }
            return count;
        });
    };
    for (int crash = 1; crash <= crashes; ++crash) {
        CHECK(has(sendTo(running.address(&Gateway::callerAddress)), "HTTP/1.1 502"));
        await([&running, crash] {
            return has(running.metrics(), "request met a crash\"} " + std::to_string(crash));
        });
    }
    CHECK(has(sendTo(running.address(&Gateway::callerAddress)), "HTTP/1.1 503"));
    REQUIRE(runCount() == crashes);
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.startOther();
        return true;
    });
    await([&running] {
        return running.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->readyMembers() == 2 && bench.other->readyMembers() == 2;
        });
    });
    const auto otherAddress = [&running](const Address &(Gateway::*which)() const) {
        return running.host.ask<Address>([which](GatewayBench &bench) {
            return (bench.other.get()->*which)();
        });
    };
    await([&otherAddress] {
        return has(metricsOf(otherAddress(&Gateway::metricsAddress)), "requests_with_crashes\"} 1");
    });
    CHECK(has(sendTo(otherAddress(&Gateway::callerAddress)), "HTTP/1.1 503"));
    CHECK(runCount() == crashes);
}
