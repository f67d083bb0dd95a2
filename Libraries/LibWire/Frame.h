#pragma once

#include <LibWire/MessageNumber.h>

#include <cstdint>
#include <string>

namespace Dogwoodkeel
{

/** One message on a connection between two nodes. */
struct Frame
{
    /** Matches a response to its request. */
    std::uint64_t correlation = 0;
    MessageNumber number{};
    /** The encoded message. */
    std::string payload;

    bool operator==(const Frame &) const = default;
};

} // namespace Dogwoodkeel
