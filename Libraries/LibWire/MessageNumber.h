#pragma once

#include <cstdint>

namespace Dogwoodkeel
{

/** Identifies the type of a message on the wire; assigned in Schema/messages.toml. */
enum class MessageNumber : std::uint16_t {};

} // namespace Dogwoodkeel
