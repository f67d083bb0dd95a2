#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Dogwoodkeel
{

/** @return the number if the whole text consists of decimal digits, otherwise nothing. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

/** @return the sum, at most the largest number of the type. */
std::uint32_t saturatingSum(std::uint32_t left, std::uint32_t right);

} // namespace Dogwoodkeel
