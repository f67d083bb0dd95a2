#pragma once

#include <LibMembership/MemberView.h>

#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/** @return whether a member takes callers and stays. */
bool takesDuties(const Member &member);

/**
 * @return whether a member may keep a duty that it has. One that has lost the store knows neither new replicas nor which are
 * leaving. A VM with less than half of the largest processor falls behind as a dispatcher, which delays the requests of all
 * nodes.
 */
bool mayKeepDuty(const MemberView &view, const Member &member);

/**
 * @param key hash of a duty, such as dispatching for a service or running a job
 * @return the member that should have it (rendezvous hashing over those that take callers and have a large enough processor),
 * or null if there is none; one that reaches the store goes before all that do not
 * @param except a member that can't have it, whatever the view says
 */
const Member *dutyHolder(const MemberView &view, std::uint64_t key, std::optional<SessionNumber> except = std::nullopt);

/** @return whether a member is the one that should have a duty. */
bool hasDuty(const MemberView &view, SessionNumber session, std::uint64_t key);

} // namespace Dogwoodkeel
