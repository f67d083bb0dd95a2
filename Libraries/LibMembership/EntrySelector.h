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

/** A caller's query for the entry addresses it should use. */
struct EntryQuery
{
    /** Identifies the caller. The same caller gets the same nodes as long as they are members. */
    std::string caller;
    /** The failure domain the caller is in or near. */
    FailureDomain near;
    /** The number of addresses requested. */
    std::size_t count = 3;
};

/** The address of one entry node, and where it is. */
struct EntryAddress
{
    Address address;
    FailureDomain failureDomain;

    bool operator==(const EntryAddress &) const = default;
};

/**
 * Selects the nodes that a caller should use, in order of preference.
 *
 * A caller keeps the answer for its time to live, during which nodes join and leave. Nodes that are leaving, not ready or
 * overloaded are therefore omitted while enough others are available. The addresses are not all in one failure domain if
 * another domain has a usable node, so a caller that loses a domain still has an address that answers. Callers are spread by
 * weighted rendezvous hashing: a node that joins or leaves moves only its own callers, and the share of a new node grows
 * gradually.
 */
class EntrySelector
{
public:
    /** @param rampUp time after its start until a node gets its full share; a few times the answers' time to live */
    explicit EntrySelector(std::chrono::milliseconds rampUp);

    /**
     * @param view the members
     * @param now wall clock time, because members report their start in it
     * @return addresses in the order to be tried; empty only if there is no member
     */
    std::vector<EntryAddress> select(const MemberView &view, const EntryQuery &query, WallTime now) const;

private:
    double weightOf(const Member &member, WallTime now) const;

    std::chrono::milliseconds rampUp;
};

} // namespace Dogwoodkeel
