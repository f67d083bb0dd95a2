#include <LibWire/FrameTraffic.h>

#include <LibWire/FrameCodec.h>
#include <LibWire/Generated/Messages.h>

#include <string>

namespace Dogwoodkeel
{

void countFrame(TrafficMeter *traffic, MessageNumber number, TrafficMeter::Direction direction, std::string_view payload)
{
    if (traffic != nullptr) {
        traffic->count(TrafficMeter::Means::PeerLink, messageName(number), direction, payload.size() + frameOverhead);
    }
}

void countLateAnswer(TrafficMeter *traffic, MessageNumber number, std::string_view payload)
{
    if (traffic != nullptr) {
        const std::string name = std::string(messageName(number)) + " after its timeout";
        traffic->count(TrafficMeter::Means::PeerLink, name, TrafficMeter::Direction::Received, payload.size() + frameOverhead);
    }
}

} // namespace Dogwoodkeel
