#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Dogwoodkeel
{

/** @return the number that the whole text is in decimal digits, or nothing. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace Dogwoodkeel
