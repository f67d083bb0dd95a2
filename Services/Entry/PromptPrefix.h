#pragma once

#include <Services/Entry/Completion.h>

#include <cstddef>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Returns the key of a prompt's prefix, the part that engines cache and that similar requests share (a system
 * message, a template).
 * @param bytes the length of the prefix
 * @return the key; 0 if the prompt is too short
 */
std::uint64_t promptPrefix(const CompletionRequest &request, std::size_t bytes);

} // namespace Dogwoodkeel
