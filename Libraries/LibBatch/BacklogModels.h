#pragma once

#include <LibBase/Hash.h>

#include <cstdint>
#include <string>

namespace Dogwoodkeel
{

/**
 * The bit of a model in Member::backlogModels. Two models may share one: a lane then asks an owner in vain now and then.
 */
inline std::uint64_t backlogBit(const std::string &model)
{
    constexpr std::uint64_t bits = 64;
    return std::uint64_t(1) << (stableHash(model) % bits);
}

} // namespace Dogwoodkeel
