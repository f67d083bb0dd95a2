#pragma once

#include <LibBase/Hash.h>

#include <cstdint>
#include <string>

namespace Dogwoodkeel
{

/**
 * Returns the bit of a model in Member::backlogModels. Models may share a bit; a lane then sometimes queries an owner that has no
 * items of its model.
 */
inline std::uint64_t backlogBit(const std::string &model)
{
    constexpr std::uint64_t bits = 64;
    return std::uint64_t(1) << (stableHash(model) % bits);
}

} // namespace Dogwoodkeel
