#pragma once

#include <LibMembership/MemberView.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Selects members that keep copies of an object. Views that differ in a few members yield nearly the same selection.
 * @param key hash of the object
 * @return members that are not leaving, ordered by rendezvous hashing, with one of each failure domain before a second one of
 * any. The pointers are valid as long as the view
 */
std::vector<const Member *> spreadMembers(const MemberView &view, std::uint64_t key, std::size_t maxCount);

} // namespace Dogwoodkeel
