#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace Dogwoodkeel
{

/**
 * Reads a count from a message of another program, whose invalid content must not end this node.
 * @return the member, at most the largest number of the type; 0 if it is missing or not a whole number of 0 or more
 */
template <typename Number = std::uint32_t>
Number countIn(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return 0;
    }
    return static_cast<Number>(std::min<std::uint64_t>(found->get<std::uint64_t>(), std::numeric_limits<Number>::max()));
}

} // namespace Dogwoodkeel
