#include <LibMembership/MemberView.h>

#include <LibBase/Hash.h>
#include <LibMembership/JournalHolders.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t shardSeed = 1;
constexpr std::uint64_t laneSeed = 2;

} // namespace

MemberView::MemberView(std::vector<Member> members, bool isMinority, std::chrono::milliseconds spreadTime)
    : list(std::move(members)), minority(isMinority), spread(spreadTime)
{
}

std::chrono::milliseconds MemberView::spreadTime() const
{
    return this->spread;
}

bool MemberView::isMinority() const
{
    return this->minority;
}

const std::vector<Member> &MemberView::members() const
{
    return this->list;
}

const Member *MemberView::find(SessionNumber session) const
{
    const auto found = std::ranges::lower_bound(this->list, session, {}, &Member::session);
    return found != this->list.end() && found->session == session ? &*found : nullptr;
}

const Member *MemberView::ownerOf(std::uint64_t key) const
{
    const Member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const Member &member : this->list) {
        if (member.state == MemberState::Leaving) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(key, member.session.value());
        if (best == nullptr || weight > bestWeight) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best;
}

const Member *MemberView::ownerOf(ShardNumber shard) const
{
    const std::uint64_t key = rendezvousWeight(shardSeed, shard.value());
    if (this->journalHolders.empty()) {
        return this->ownerOf(key);
    }
    const auto best = std::ranges::max_element(this->journalHolders, {}, [this, key](std::size_t index) {
        return rendezvousWeight(key, this->list[index].session.value());
    });
    return &this->list[*best];
}

std::shared_ptr<const MemberView> MemberView::withJournalLimit(std::size_t maxHolders) const
{
    auto view = std::make_shared<MemberView>(*this);
    view->journalHolders = selectJournalHolders(this->list, maxHolders);
    return view;
}

std::size_t MemberView::journalCount() const
{
    if (!this->journalHolders.empty()) {
        return this->journalHolders.size();
    }
    return static_cast<std::size_t>(std::ranges::count_if(this->list, [](const Member &member) {
        return member.state != MemberState::Leaving;
    }));
}

const Member *MemberView::laneHolderOf(const EndpointName &replica) const
{
    return this->ownerOf(stableHash(replica.value(), laneSeed));
}

} // namespace Dogwoodkeel
