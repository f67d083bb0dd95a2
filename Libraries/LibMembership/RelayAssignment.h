#pragma once

#include <LibMembership/MemberView.h>

namespace Dogwoodkeel
{

/** In a failure domain of up to this many members, each member follows the store's tables itself. */
inline constexpr std::size_t maxMembersWithoutRelays = 8;
/** Minimum number of relays in a larger failure domain: if one is lost, the other still serves. */
inline constexpr std::size_t minRelays = 2;
/** Maximum number of members per relay, by which the number of relays grows with the failure domain. */
inline constexpr std::size_t membersPerRelay = 128;

/**
 * Decides by rendezvous hashing whether a member should be a relay of its failure domain. Candidates are the members of the
 * domain that are not leaving and have a sufficient processor; those that reach the store take precedence.
 *
 * Each row that a member reads from the store has a cost. If every member followed the tables, the bytes read would grow with
 * the number of replicas times the number of members. So only a few relays of each failure domain follow them, and forward what
 * the other members need.
 *
 * @return whether the member should be a relay according to this view
 */
bool shouldRelay(const MemberView &view, SessionNumber session);

/**
 * @return whether as many other members of the member's failure domain serve as relays as this view demands, not counting those
 * that should not be relays
 */
bool hasEnoughServingRelays(const MemberView &view, SessionNumber session);

/** @return the number of members in the failure domain of a member that are not leaving, itself included. */
std::size_t domainSize(const MemberView &view, SessionNumber session);

/** @return the number of relays in a failure domain with the given number of members. */
std::size_t relaysFor(std::size_t membersOfDomain);

} // namespace Dogwoodkeel
