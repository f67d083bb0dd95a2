#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/** Keys of the rows and objects that hold configuration versions. */
namespace Dogwoodkeel::ConfigurationKeys
{

/**
 * Row of a version. Keys sort with the newest version first, so that one ranged read of one row finds it, however long
 * the history has grown.
 */
std::string version(std::uint64_t number);

/** @return the key behind all versions' rows. */
std::string versionsEnd();

/** Object of a part. Made from what it holds, so writing it again changes nothing. */
std::string part(std::string_view content);

} // namespace Dogwoodkeel::ConfigurationKeys
