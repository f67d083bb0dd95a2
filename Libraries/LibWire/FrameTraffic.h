#pragma once

#include <LibBase/TrafficMeter.h>
#include <LibWire/MessageNumber.h>

#include <string_view>

namespace Dogwoodkeel
{

/** Counts a frame between two nodes. @param traffic if null, nothing is counted */
void countFrame(TrafficMeter *traffic, MessageNumber number, TrafficMeter::Direction direction, std::string_view payload);

/** Counts a received answer whose call had timed out, under a name of its own. @param traffic if null, nothing is counted */
void countLateAnswer(TrafficMeter *traffic, MessageNumber number, std::string_view payload);

} // namespace Dogwoodkeel
