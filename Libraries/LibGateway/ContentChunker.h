#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Maximum size of a chunk in bytes. */
inline constexpr std::size_t maxChunkBytes = 16384;

/**
 * Splits a text by content-defined chunking: boundaries depend on the nearby bytes only, so a change leaves all chunks but those
 * next to it as they are. Unlike splitIntoParts() of LibControl, it needs no line ends.
 * @return the chunks in order, of up to maxChunkBytes; their concatenation is the text
 */
std::vector<std::string_view> splitByContent(std::string_view text);

} // namespace Dogwoodkeel
