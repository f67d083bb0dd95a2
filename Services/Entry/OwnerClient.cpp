#include <Services/Entry/OwnerClient.h>

#include <LibBase/Hash.h>

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

const Member *OwnerClient::ownerOf(const std::string &id) const
{
    const ShardNumber shard(static_cast<std::uint32_t>(stableHash(id) % this->options.shards));
    return this->view->ownerOf(shard);
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
