#pragma once

#include <Services/Entry/Completion.h>

#include <cstddef>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Key of a prompt's start: what engines cache, and what requests of one kind share (a system message, a template).
 * @param bytes how much of the prompt counts
 * @return the key; 0 if the prompt is too short to be worth it
 */
std::uint64_t promptPrefix(const CompletionRequest &request, std::size_t bytes);

} // namespace Dogwoodkeel
