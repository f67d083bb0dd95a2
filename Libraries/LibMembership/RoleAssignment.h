#pragma once

#include <LibMembership/MemberView.h>

#include <cstdint>
#include <set>

namespace Dogwoodkeel
{

/** Which members are candidates for a role. */
enum class RoleCandidates : std::uint8_t {
    /** All members with a sufficient processor. */
    Any,
    /** Only relays, which know all replicas; the same as Any in a fleet where each member follows the tables itself. */
    Relays,
};

/** @return whether a member is ready for callers and not leaving. */
bool acceptsRoles(const Member &member);

/** @return whether a member has at least half of the largest processor among the members that accept roles. */
bool hasEnoughProcessor(const MemberView &view, const Member &member);

/**
 * @return whether a member may keep a role that is restricted to relays. A member that has lost the store does not learn of new
 * or leaving replicas. A VM with less than half of the largest processor is too slow as a dispatcher, which delays the requests
 * of all nodes.
 */
bool mayKeepRole(const MemberView &view, const Member &member);

/**
 * Selects the coordinator of a role by rendezvous hashing over the members that accept roles and have a sufficient processor.
 * Members that reach the store take precedence over those that do not.
 * @param key hash of a role, such as dispatching for a service or running a job
 * @param except members that are not eligible, whatever the view says
 * @return the preferred coordinator, or null if no member is eligible
 */
const Member *coordinatorFor(const MemberView &view,
                             std::uint64_t key,
                             RoleCandidates candidates = RoleCandidates::Any,
                             const std::set<SessionNumber> &except = {});

/** @return whether a member is the preferred coordinator of a role. */
bool hasRole(const MemberView &view, SessionNumber session, std::uint64_t key, RoleCandidates candidates = RoleCandidates::Any);

} // namespace Dogwoodkeel
