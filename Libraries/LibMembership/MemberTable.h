#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Dogwoodkeel
{

/** The result of merging a report about a member. */
enum class MergeResult : std::uint8_t {
    /** The report was known already or is older than what is known. */
    Unchanged,
    /** The report changed what is known of a member. */
    Changed,
    /** The report is about a member whose description is not known; it has to be requested from the sender. */
    NeedsDescription,
};

/**
 * Holds what a node knows of the members, itself included. The result of merging does not depend on the order of the reports: of
 * two reports the higher incarnation wins, at the same incarnation the more severe state, and Left always wins.
 *
 * Members that are dead or left are kept, without cost for the present ones, so that late gossip cannot restore them. Only a
 * higher incarnation can restore a dead member, and only a member itself raises its incarnation.
 */
class MemberTable
{
public:
    /** What is known of a member. */
    struct Entry
    {
        Member member;
        /** When its state last changed. */
        SteadyTime since{};
        /** Whether its addresses are known; false if the first report of it said that it was dead or left. */
        bool isDescribed = false;
        /** Its contribution to the digests while it counts as present. */
        std::optional<std::uint32_t> weight{};
    };

    /** Number of parts of the digest; only members in parts that differ are sent. */
    static constexpr std::size_t parts = 16;

    explicit MemberTable(Member self, SteadyTime now);

    MergeResult merge(const Member &reported, SteadyTime now);
    MergeResult merge(const MemberUpdate &reported, SteadyTime now);
    MergeResult merge(const MemberLoad &reported);

    /** @return this node itself. The caller may change it and calls ownChanged() afterwards. */
    Member &own();
    const Member &own() const;
    void ownChanged();

    /** Changes the session number of this node. */
    void renameOwn(SessionNumber next);

    /** @return what is known of a session, or null. */
    const Entry *find(SessionNumber session) const;

    const std::map<SessionNumber, Entry> &entries() const;

    /** @return the other members that are neither dead nor left. */
    std::vector<const Member *> others() const;

    /** @return the number of others(), in constant time. */
    std::size_t otherCount() const;

    /** @return the digest of each part. */
    const std::array<std::uint32_t, parts> &digests() const;

    /** @return the digest of all members that are neither dead nor left. */
    std::uint32_t digest() const;

    /** Removes members that have been dead or left since before a time. */
    void forget(SteadyTime before);

private:
    static bool isNewer(const MemberUpdate &reported, const Member &known);
    void updateTotals(Entry &entry);
    void removeFromTotals(Entry &entry);

    SessionNumber self;
    std::map<SessionNumber, Entry> known;
    /** Number of members that are neither dead nor left, this node included. */
    std::size_t presentCount = 0;
    /** Sums of the weights of the present members, updated with each change. */
    std::array<std::uint32_t, parts> partDigests{};
};

/** @return whether a member is dead or left. */
bool isDeparted(const Member &member);

/** @return the update that is sent to members that have the description. */
MemberUpdate updateOf(const Member &member);

/** @return the load of a member as it is sent to others. */
MemberLoad loadOf(const Member &member);

} // namespace Dogwoodkeel
