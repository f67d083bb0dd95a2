#pragma once

#include <cstddef>
#include <string_view>

namespace Dogwoodkeel
{

/** Maximum nesting depth of JSON; no meaningful request reaches it. */
inline constexpr std::size_t jsonDepthLimit = 200;

/**
 * Detects JSON text that nests too deeply to be processed.
 *
 * The JSON library parses any depth, but copies and writes values by recursion: a body of a few megabytes that holds only
 * opening brackets overflows the stack, and a single caller could crash the process. Such text is
 * therefore rejected before it is parsed.
 * @param text any text, usually JSON
 * @return whether brackets outside of strings nest deeper than jsonDepthLimit
 */
bool isNestedTooDeep(std::string_view text);

} // namespace Dogwoodkeel
