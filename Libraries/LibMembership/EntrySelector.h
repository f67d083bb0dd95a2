#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibMembership/MemberView.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What a caller asks when it wants to know which addresses to use. */
struct EntryQuery
{
    /** Names the caller; the same caller gets the same nodes as long as they are there. */
    std::string caller;
    /** The failure domain the caller is in or near. */
    FailureDomain near;
    /** How many addresses it wants. */
    std::size_t count = 3;
};

/** One address for a caller. */
struct EntryAddress
{
    Address address;
    FailureDomain failureDomain;

    bool operator==(const EntryAddress &) const = default;
};

/**
 * Chooses the nodes that a caller is told to use, in order.
 *
 * A caller keeps the answer for its time to live, in which nodes go and come. So nodes that are leaving, not ready or
 * overloaded are left out, and the addresses are never all in one failure domain if another has a node: a caller that
 * loses a domain still has an address that answers. Callers are spread by weighted rendezvous hashing, so that a node that
 * comes or goes moves only its own callers, and a new one gets its share little by little.
 */
class EntrySelector
{
public:
    /** @param rampUp how long after its start a node has its full share; a few times the answers' time to live */
    explicit EntrySelector(std::chrono::milliseconds rampUp);

    /**
     * @param view the members
     * @param now by the wall clock, since a member's start is told by it
     * @return addresses in the order to be tried; empty only if there is no member at all
     */
    std::vector<EntryAddress> select(const MemberView &view, const EntryQuery &query, WallTime now) const;

private:
    double weightOf(const Member &member, WallTime now) const;

    std::chrono::milliseconds rampUp;
};

} // namespace Dogwoodkeel
