#pragma once

#include <LibMembership/MemberView.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Choose members to keep copies of something. Views that differ in a few members give nearly the same ones.
 * @param key hash of what is kept
 * @return by rendezvous hashing, one of each failure domain before a second one of any; members that leave are not among them.
 *         The pointers are valid as long as the view
 */
std::vector<const Member *> spreadMembers(const MemberView &view, std::uint64_t key, std::size_t maxCount);

} // namespace Dogwoodkeel
