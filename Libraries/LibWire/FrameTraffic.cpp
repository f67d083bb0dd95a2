#include <LibWire/FrameTraffic.h>

#include <LibWire/FrameCodec.h>
#include <LibWire/Generated/Messages.h>

namespace Dogwoodkeel
{

void countFrame(TrafficMeter *traffic, MessageNumber number, TrafficMeter::Direction direction, std::string_view payload)
{
    if (traffic != nullptr) {
        traffic->count(TrafficMeter::Means::PeerLink, messageName(number), direction, payload.size() + frameOverhead);
    }
}

} // namespace Dogwoodkeel
