#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/** Keys of the rows and objects that hold configuration versions. */
namespace Dogwoodkeel::ConfigurationKeys
{

/**
 * Returns the row key of a version. Keys sort with the newest version first, so that a range read of one row finds the
 * newest version regardless of the length of the history.
 */
std::string version(std::uint64_t number);

/** @return the exclusive end of the key range of all versions' rows. */
std::string versionsEnd();

/** Returns the object key of a part. It is a hash of the content, so writing a part again is idempotent. */
std::string part(std::string_view content);

} // namespace Dogwoodkeel::ConfigurationKeys
