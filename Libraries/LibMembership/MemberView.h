#pragma once

#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** A snapshot of the members as one node knows them. It is immutable, so tasks share it. */
class MemberView
{
public:
    /**
     * @param members the alive, suspect and leaving members, sorted by session
     * @param isMinority whether this node has recently lost more members than it still knows
     * @param spreadTime the time in which an update most likely reaches every member
     */
    explicit MemberView(std::vector<Member> members,
                        bool isMinority = false,
                        std::chrono::milliseconds spreadTime = std::chrono::milliseconds(0));

    const std::vector<Member> &members() const;

    /**
     * @return whether this node has recently lost more members than it still knows, itself included. It is then more likely to
     * be in the smaller side of a partition than to have survived them, and must expect that what they own is still in use.
     */
    bool isMinority() const;

    /** @return the time after which every member most likely has the same view. */
    std::chrono::milliseconds spreadTime() const;

    /** @return the member of a session, or null. */
    const Member *find(SessionNumber session) const;

    /**
     * @param key hash of what is to be owned
     * @return the preferred owner (rendezvous hashing over the members that are not leaving), or null if there is none
     */
    const Member *ownerOf(std::uint64_t key) const;

    /**
     * Limits the members that own shards. Each owner holds a journal, and the platform limits the rate of writes. The other
     * members send their claims and results to the owners.
     * @param maxHolders how many members may hold a journal
     * @return a copy of the view in which at most that many members own shards
     */
    std::shared_ptr<const MemberView> withJournalLimit(std::size_t maxHolders) const;

    /** @return the number of members that hold a journal and own shards. */
    std::size_t journalCount() const;

    /** @return the preferred owner of a shard. */
    const Member *ownerOf(ShardNumber shard) const;

    /** @return the member that should hold the lane of a replica. */
    const Member *laneHolderOf(const EndpointName &replica) const;

private:
    std::vector<Member> list;
    bool minority = false;
    std::chrono::milliseconds spread{0};
    /** Indexes in the list of the members that own shards; empty if all that are not leaving do. */
    std::vector<std::size_t> journalHolders;
};

using MemberViewPointer = std::shared_ptr<const MemberView>;

} // namespace Dogwoodkeel
