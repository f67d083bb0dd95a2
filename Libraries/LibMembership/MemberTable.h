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

/** What came of taking in something that was told. */
enum class MergeResult : std::uint8_t {
    /** It was known, or is older than what is known. */
    Unchanged,
    /** It changed what is known of a member. */
    Changed,
    /** It is about a member that no description was given of; the teller has to be asked. */
    NeedsDescription,
};

/**
 * What a node knows of the members, itself included. Merging is the same in whatever order things are told: of two
 * entries the higher incarnation wins, at the same incarnation the graver state, and Left wins always.
 *
 * Members that are dead or left are remembered, without cost to the others, so that late gossip cannot bring them back:
 * only a higher incarnation can, and only a member itself raises its own.
 */
class MemberTable
{
public:
    /** A member as it is known. */
    struct Entry
    {
        Member member;
        /** When its state changed last. */
        SteadyTime since{};
        /** Whether its addresses are known; not so for one that was first heard of when it was dead. */
        bool isDescribed = false;
        /** Its part of the digests, if it is counted as present there. */
        std::optional<std::uint32_t> weight{};
    };

    /** Parts of the digest, so that only members in parts that differ are sent. */
    static constexpr std::size_t parts = 16;

    explicit MemberTable(Member self, SteadyTime now);

    MergeResult merge(const Member &reported, SteadyTime now);
    MergeResult merge(const MemberNews &reported, SteadyTime now);
    MergeResult merge(const MemberLoad &reported);

    /** @return this node itself, to be changed by its owner; call ownChanged() after. */
    Member &own();
    const Member &own() const;
    void ownChanged();

    /** Know this node itself under another session number. */
    void renameOwn(SessionNumber next);

    /** @return what is known of a session, or null. */
    const Entry *find(SessionNumber session) const;

    const std::map<SessionNumber, Entry> &entries() const;

    /** @return the other members that are neither dead nor left. */
    std::vector<const Member *> others() const;

    /** @return how many others() there are, without looking at them. */
    std::size_t otherCount() const;

    /** @return digests of the parts. */
    const std::array<std::uint32_t, parts> &digests() const;

    /** @return digest of all members that are neither dead nor left. */
    std::uint32_t digest() const;

    /** Forget members that have been dead or left since before a time. */
    void forget(SteadyTime before);

private:
    static bool isNewer(const MemberNews &reported, const Member &known);
    void updateTotals(Entry &entry);
    void removeFromTotals(Entry &entry);

    SessionNumber self;
    std::map<SessionNumber, Entry> known;
    /** Members that are neither dead nor left, this node among them. */
    std::size_t presentCount = 0;
    /** Of the members that are present; changed with each of them. */
    std::array<std::uint32_t, parts> partDigests{};
};

/** @return whether a member is dead or left. */
bool isDeparted(const Member &member);

/** @return what is told of a member to those that have its description. */
MemberNews updateOf(const Member &member);

/** @return what is told of a member's load. */
MemberLoad loadOf(const Member &member);

} // namespace Dogwoodkeel
