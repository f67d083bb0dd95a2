#pragma once

#include <cstdint>

namespace Dogwoodkeel
{

/** Tells the messages on the wire apart; given out in Schema/messages.toml. */
enum class MessageNumber : std::uint16_t {};

} // namespace Dogwoodkeel
