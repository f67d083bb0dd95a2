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

/** The members as one node saw them at one moment; never changed, so tasks share it. */
class MemberView
{
public:
    /**
     * @param members alive, suspect and leaving ones, in order of their sessions
     * @param isMinority whether this node has lost sight of more members than it sees
     * @param spreadTime how long news takes to reach every member, most likely
     */
    explicit MemberView(std::vector<Member> members,
                        bool isMinority = false,
                        std::chrono::milliseconds spreadTime = std::chrono::milliseconds(0));

    const std::vector<Member> &members() const;

    /**
     * @return whether this node has lately lost sight of more members than it sees, itself included. It is then more
     * likely to be cut off than to have outlived them: what it would take over from them is most likely not free.
     */
    bool isMinority() const;

    /** @return how long it takes until every member has most likely the same view. */
    std::chrono::milliseconds spreadTime() const;

    /** @return the member of a session, or null. */
    const Member *find(SessionNumber session) const;

    /**
     * @param key hash of what is to be owned
     * @return who should own it (rendezvous hashing over the members that are not leaving), or null if there is none
     */
    const Member *ownerOf(std::uint64_t key) const;

    /**
     * @param most how many members may hold a journal
     * @return the same view, in which only some members own shards if there are more than that: each holds a journal, and
     * the platform takes only so many writes. The others send their claims and results there.
     */
    std::shared_ptr<const MemberView> withJournalLimit(std::size_t maxHolders) const;

    /** @return how many members own shards. */
    std::size_t journalCount() const;

    /** @return who should own a shard. */
    const Member *ownerOf(ShardNumber shard) const;

    /** @return who should hold the lane of a replica. */
    const Member *laneHolderOf(const EndpointName &replica) const;

private:
    std::vector<Member> list;
    bool minority = false;
    std::chrono::milliseconds spread{0};
    /** Places in the list of those who own shards; empty if all do that are not leaving. */
    std::vector<std::size_t> journalHolders;
};

using MemberViewPointer = std::shared_ptr<const MemberView>;

} // namespace Dogwoodkeel
