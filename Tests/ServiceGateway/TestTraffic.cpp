#include <Tests/ServiceGateway/RunningGateway.h>

using namespace Dogwoodkeel;

TEST_CASE("the metrics count the traffic with other nodes and with the store by kind of message")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.startOther();
    });
    await([&running] {
        const std::string metrics = running.metrics();
        const std::string name = "dogwoodkeel_traffic_bytes";
        return has(metrics, name + "{direction=\"sent\",means=\"datagram\",name=\"Ping\"}")
            && has(metrics, name + "{direction=\"received\",means=\"datagram\",name=\"Pong\"}")
            && has(metrics, name + "{direction=\"received\",means=\"store\",name=\"read op\"}")
            && has(metrics, "dogwoodkeel_traffic_messages{direction=\"sent\",means=\"store\",name=\"transact nodes\"}");
    });
}
