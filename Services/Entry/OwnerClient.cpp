#include <Services/Entry/OwnerClient.h>

#include <LibBase/Shards.h>

#include <utility>

namespace Dogwoodkeel
{

OwnerClient::OwnerClient(EventLoop &loop, const Clock &clock, PeerClient &peers, Options options)
    : loop(loop), clock(clock), peers(peers), options(options), view(std::make_shared<MemberView>(std::vector<Member>()))
{
}

void OwnerClient::setView(MemberViewPointer view)
{
    this->view = std::move(view);
}

ShardNumber OwnerClient::shardOf(const std::string &id) const
{
    return shardOfId(id, this->options.shards);
}

std::optional<Address> OwnerClient::targetFor(const std::string &id, bool isFormerOwner) const
{
    const ShardNumber shard = this->shardOf(id);
    const auto last = this->lastResponders.find(shard);
    if (isFormerOwner && last != this->lastResponders.end()) {
        return last->second;
    }
    const Member *const owner = this->view->ownerOf(shard);
    return owner != nullptr ? std::optional(owner->owner) : std::nullopt;
}

std::vector<Address> OwnerClient::reachableOwners() const
{
    std::vector<Address> owners;
    for (const Member &member : this->view->members()) {
        if (member.state != MemberState::Dead) {
            owners.push_back(member.owner);
        }
    }
    return owners;
}

} // namespace Dogwoodkeel
