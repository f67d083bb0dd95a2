#pragma once

#include <LibMembership/MemberView.h>

#include <cstdint>
#include <set>

namespace Dogwoodkeel
{

/** Which members may have a duty. */
enum class RoleCandidates : std::uint8_t {
    /** All with a large enough processor. */
    Any,
    /** Of these the relays, which know all replicas. Where each member follows the tables itself, as any. */
    Relays,
};

/** @return whether a member takes callers and stays. */
bool takesDuties(const Member &member);

/** @return whether a member that takes callers has at least half of the largest processor of such members. */
bool hasEnoughProcessor(const MemberView &view, const Member &member);

/**
 * @return whether a member may keep a duty that only relays have. One that has lost the store knows neither new replicas nor
 * which are leaving. A VM with less than half of the largest processor falls behind as a dispatcher, which delays the requests of
 * all nodes.
 */
bool mayKeepDuty(const MemberView &view, const Member &member);

/**
 * @param key hash of a duty, such as dispatching for a service or running a job
 * @return the member that should have it (rendezvous hashing over those that take callers and have a large enough processor),
 * or null if there is none; one that reaches the store goes before all that do not
 * @param except members that can't have it, whatever the view says
 */
const Member *
coordinatorFor(const MemberView &view, std::uint64_t key, RoleCandidates who = RoleCandidates::Any, const std::set<SessionNumber> &except = {});

/** @return whether a member is the one that should have a duty. */
bool hasRole(const MemberView &view, SessionNumber session, std::uint64_t key, RoleCandidates who = RoleCandidates::Any);

} // namespace Dogwoodkeel
