#pragma once

#include <cstddef>
#include <string_view>

namespace Dogwoodkeel
{

/** Deeper than any request that means something. */
inline constexpr std::size_t jsonDepthLimit = 200;

/**
 * Tell text that would nest JSON too deep to be handled.
 *
 * The JSON library parses any depth, but copies and writes values by recursion: a body of a few megabytes that holds only
 * opening brackets overflows the stack, and one caller ends the process. So such text is turned away before it is parsed.
 * @param text JSON, or anything
 * @return whether brackets outside of strings nest deeper than jsonDepthLimit
 */
bool isNestedTooDeep(std::string_view text);

} // namespace Dogwoodkeel
