#pragma once

#include <LibWire/Generated/Messages.h>

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
    /** @param members alive, suspect and leaving ones, in order of their sessions */
    explicit MemberView(std::vector<Member> members);

    const std::vector<Member> &members() const;

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
    std::shared_ptr<const MemberView> withJournals(std::size_t most) const;

    /** @return how many members own shards. */
    std::size_t journals() const;

    /** @return who should own a shard. */
    const Member *ownerOf(ShardNumber shard) const;

    /** @return who should hold the lane of a replica. */
    const Member *holderOf(const EndpointName &replica) const;

private:
    std::vector<Member> list;
    /** Places in the list of those who own shards; empty if all do that are not leaving. */
    std::vector<std::size_t> journalHolders;
};

using MemberViewPointer = std::shared_ptr<const MemberView>;

} // namespace Dogwoodkeel
