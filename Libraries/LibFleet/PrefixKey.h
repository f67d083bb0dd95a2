#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Dogwoodkeel
{

/** Engines cache prompts in blocks of this size, and their cache events name blocks. */
inline constexpr std::size_t prefixBlockBytes = 64;

/**
 * @param key of the prompt before the block; 0 for the first block
 * @param block the next block's text
 * @return the key of the prompt up to and with the block, never 0
 */
std::uint64_t extendPrefixKey(std::uint64_t key, std::string_view block);

/**
 * @param prompt as the engine is sent it
 * @param bytes how much of its start counts
 * @return the key of its whole blocks within that; 0 if there is none
 */
std::uint64_t prefixKey(std::string_view prompt, std::size_t bytes);

} // namespace Dogwoodkeel
