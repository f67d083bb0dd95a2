#pragma once

#include <LibMembership/MemberView.h>

namespace Dogwoodkeel
{

/** A failure domain of up to so many members has no need of relays: each of them follows the store's tables itself. */
inline constexpr std::size_t maxMembersWithoutRelays = 8;
/** Relays of a failure domain: while one is lost, the other goes on. */
inline constexpr std::size_t minRelays = 2;
/** Members that one relay serves at most, by which their number grows with the failure domain. */
inline constexpr std::size_t membersPerRelay = 128;

/**
 * What is read from the store is paid for by row and reader. Were every member to follow the tables, the bytes would grow with
 * the replicas times the members. So a few relays of each failure domain follow them, and pass on what the others need.
 *
 * @return whether a member should be a relay of its failure domain, in the eyes of whoever has this view: rendezvous hashing over
 * the members of the domain that stay and have a large enough processor, those that reach the store before all others
 */
bool shouldRelay(const MemberView &view, SessionNumber session);

/** @return how many relays a failure domain of so many members has. */
std::size_t relaysFor(std::size_t membersOfDomain);

} // namespace Dogwoodkeel
