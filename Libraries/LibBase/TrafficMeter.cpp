#include <LibBase/TrafficMeter.h>

namespace Dogwoodkeel
{

void TrafficMeter::count(Means means, std::string_view name, Direction direction, std::size_t bytes)
{
    Total &total = this->counted[Kind{means, std::string(name), direction}];
    ++total.messages;
    total.bytes += bytes;
}

const std::map<TrafficMeter::Kind, TrafficMeter::Total> &TrafficMeter::totals() const
{
    return this->counted;
}

std::string_view toString(TrafficMeter::Direction direction)
{
    return direction == TrafficMeter::Direction::Sent ? "sent" : "received";
}

std::string_view toString(TrafficMeter::Means means)
{
    switch (means) {
    case TrafficMeter::Means::Datagram:
        return "datagram";
    case TrafficMeter::Means::PeerLink:
        return "peer link";
    case TrafficMeter::Means::Store:
        return "store";
    }
    return "invalid";
}

} // namespace Dogwoodkeel
