#include <LibBase/TrafficMeter.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("messages and their bytes are counted by means, name and direction")
{
    using Direction = TrafficMeter::Direction;
    using Means = TrafficMeter::Means;
    TrafficMeter meter;
    meter.count(Means::Datagram, "Ping", Direction::Sent, 100);
    meter.count(Means::Datagram, "Ping", Direction::Sent, 50);
    meter.count(Means::Datagram, "Ping", Direction::Received, 7);
    meter.count(Means::PeerLink, "Ping", Direction::Sent, 1);
    CHECK(meter.totals().size() == 3);
    const TrafficMeter::Total sent = meter.totals().at({Means::Datagram, "Ping", Direction::Sent});
    CHECK(sent.messages == 2);
    CHECK(sent.bytes == 150);
}
