#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Dogwoodkeel
{

/** Block size in which engines cache prompts and report cache events. */
inline constexpr std::size_t prefixBlockBytes = 64;

/**
 * @param key key of the prompt before the block; 0 for the first block
 * @param block text of the next block
 * @return the key of the prompt up to and including the block, never 0
 */
std::uint64_t extendPrefixKey(std::uint64_t key, std::string_view block);

/**
 * @param prompt as it is sent to the engine
 * @param bytes length of the prefix
 * @return the key of the complete blocks within the prefix; 0 if there is none
 */
std::uint64_t prefixKey(std::string_view prompt, std::size_t bytes);

} // namespace Dogwoodkeel
