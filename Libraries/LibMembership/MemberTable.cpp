#include <LibMembership/MemberTable.h>

#include <LibBase/Hash.h>

#include <numeric>
#include <utility>

namespace Dogwoodkeel
{

bool isDeparted(const Member &member)
{
    return member.state >= MemberState::Dead;
}

MemberUpdate updateOf(const Member &member)
{
    return {member.session,
            member.incarnation,
            member.state,
            member.isLeaving,
            member.isReady,
            SessionNumber(0),
            member.hasLostStore,
            member.isRelay};
}

MemberLoad loadOf(const Member &member)
{
    return {member.session, member.loadVersion, member.backlog, member.configVersion, member.pressure, member.backlogModels};
}

MemberTable::MemberTable(Member self, SteadyTime now) : self(self.session)
{
    Entry &own = this->known[this->self];
    own = {std::move(self), now, true};
    this->updateTotals(own);
}

void MemberTable::updateTotals(Entry &entry)
{
    this->removeFromTotals(entry);
    if (!isDeparted(entry.member)) {
        // NOTE: Suspect counts as alive: the state is transient, and a digest that reflects it would cause extra comparisons.
        const std::uint64_t session = entry.member.session.value();
        entry.weight = static_cast<std::uint32_t>(rendezvousWeight(session, entry.member.incarnation));
        this->partDigests[session % parts] += *entry.weight;
        ++this->presentCount;
    }
}

void MemberTable::removeFromTotals(Entry &entry)
{
    if (entry.weight) {
        this->partDigests[entry.member.session.value() % parts] -= *entry.weight;
        --this->presentCount;
        entry.weight.reset();
    }
}

bool MemberTable::isNewer(const MemberUpdate &reported, const Member &known)
{
    if (known.state == MemberState::Left || reported.state == MemberState::Left) {
        return known.state != MemberState::Left;
    }
    if (reported.incarnation != known.incarnation) {
        return reported.incarnation > known.incarnation;
    }
    return reported.state > known.state;
}

MergeResult MemberTable::merge(const Member &reported, SteadyTime now)
{
    const auto [found, isNew] = this->known.try_emplace(reported.session);
    Entry &entry = found->second;
    if (isNew) {
        entry = {reported, now, true};
        this->updateTotals(entry);
        return MergeResult::Changed;
    }
    const bool wasDescribed = std::exchange(entry.isDescribed, true);
    if (!wasDescribed) {
        // Only the state was known. It is kept, because the sender of the description may not know it yet.
        const MemberUpdate current = updateOf(entry.member);
        this->removeFromTotals(entry);
        entry.member = reported;
        entry.member.incarnation = current.incarnation;
        entry.member.state = current.state;
        this->updateTotals(entry);
    }
    const MergeResult result = this->merge(updateOf(reported), now);
    const MergeResult load = this->merge(loadOf(reported));
    if (!wasDescribed || result == MergeResult::Changed) {
        return MergeResult::Changed;
    }
    return load;
}

MergeResult MemberTable::merge(const MemberUpdate &reported, SteadyTime now)
{
    const auto found = this->known.find(reported.session);
    if (found == this->known.end()) {
        if (reported.state < MemberState::Dead) {
            return MergeResult::NeedsDescription;
        }
        Entry &entry = this->known[reported.session];
        entry.member.session = reported.session;
        entry.member.incarnation = reported.incarnation;
        entry.member.state = reported.state;
        entry.since = now;
        return MergeResult::Changed;
    }
    Entry &entry = found->second;
    if (!isNewer(reported, entry.member)) {
        return MergeResult::Unchanged;
    }
    if (!entry.isDescribed && reported.state < MemberState::Dead) {
        return MergeResult::NeedsDescription;
    }
    if (entry.member.state != reported.state) {
        entry.since = now;
    }
    entry.member.incarnation = reported.incarnation;
    entry.member.state = reported.state;
    this->updateTotals(entry);
    entry.member.isLeaving = reported.isLeaving;
    entry.member.isReady = reported.isReady;
    entry.member.hasLostStore = reported.hasLostStore;
    entry.member.isRelay = reported.isRelay;
    return MergeResult::Changed;
}

MergeResult MemberTable::merge(const MemberLoad &reported)
{
    const auto found = this->known.find(reported.session);
    if (found == this->known.end()) {
        return MergeResult::NeedsDescription;
    }
    Member &member = found->second.member;
    if (reported.version <= member.loadVersion) {
        return MergeResult::Unchanged;
    }
    member.loadVersion = reported.version;
    member.backlog = reported.backlog;
    member.configVersion = reported.configVersion;
    member.pressure = reported.pressure;
    member.backlogModels = reported.backlogModels;
    return MergeResult::Changed;
}

Member &MemberTable::own()
{
    return this->known.at(this->self).member;
}

const Member &MemberTable::own() const
{
    return this->known.at(this->self).member;
}

void MemberTable::ownChanged()
{
    this->updateTotals(this->known.at(this->self));
}

void MemberTable::renameOwn(SessionNumber next)
{
    auto node = this->known.extract(this->self);
    this->removeFromTotals(node.mapped());
    if (const auto duplicate = this->known.find(next); duplicate != this->known.end()) {
        this->removeFromTotals(duplicate->second);
        this->known.erase(duplicate);
    }
    node.key() = next;
    node.mapped().member.session = next;
    this->known.insert(std::move(node));
    this->self = next;
    this->ownChanged();
}

const MemberTable::Entry *MemberTable::find(SessionNumber session) const
{
    const auto found = this->known.find(session);
    return found != this->known.end() ? &found->second : nullptr;
}

const std::map<SessionNumber, MemberTable::Entry> &MemberTable::entries() const
{
    return this->known;
}

std::vector<const Member *> MemberTable::others() const
{
    std::vector<const Member *> members;
    for (const auto &[session, entry] : this->known) {
        if (session != this->self && !isDeparted(entry.member)) {
            members.push_back(&entry.member);
        }
    }
    return members;
}

std::size_t MemberTable::otherCount() const
{
    return this->presentCount - (this->known.at(this->self).weight ? 1 : 0);
}

const std::array<std::uint32_t, MemberTable::parts> &MemberTable::digests() const
{
    return this->partDigests;
}

std::uint32_t MemberTable::digest() const
{
    return std::accumulate(this->partDigests.begin(), this->partDigests.end(), std::uint32_t(0));
}

void MemberTable::forget(SteadyTime before)
{
    std::erase_if(this->known, [this, before](const auto &entry) {
        return entry.first != this->self && isDeparted(entry.second.member) && entry.second.since < before;
    });
}

} // namespace Dogwoodkeel
