#include <LibMembership/RelaySelector.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <tuple>

namespace Dogwoodkeel
{

namespace
{

/** For so long a relay that did not answer, or did not know, is passed by: several times as long as an answer may take. */
constexpr std::chrono::milliseconds passedByFor{5000};

} // namespace

RelaySelector::RelaySelector(const Clock &clock) : clock(clock)
{
}

void RelaySelector::update(const MemberViewPointer &view, SessionNumber self)
{
    this->view = view;
    this->self = self;
    if (const Member *const own = view->find(self)) {
        this->domain = own->failureDomain;
    }
    this->pickedAt.reset();
}

bool RelaySelector::isRecent(const Times &times, SessionNumber relay) const
{
    const auto found = times.find(relay);
    return found != times.end() && this->clock.now() - found->second < passedByFor;
}

void RelaySelector::note(Times &times, SessionNumber relay)
{
    const SteadyTime now = this->clock.now();
    times.insert_or_assign(relay, now);
    std::erase_if(times, [now](const auto &entry) {
        return now - entry.second >= passedByFor;
    });
    this->pickedAt.reset();
}

void RelaySelector::recordUnresponsive(SessionNumber relay)
{
    this->note(this->silent, relay);
}

void RelaySelector::recordOutdated(SessionNumber relay)
{
    this->note(this->behind, relay);
}

bool RelaySelector::hasNoResponsiveRelay()
{
    return this->select() == nullptr && std::ranges::any_of(this->silent, [this](const auto &entry) {
               return this->isRecent(this->silent, entry.first);
           });
}

const Member *RelaySelector::select()
{
    const SteadyTime now = this->clock.now();
    if (this->pickedAt && now - *this->pickedAt < passedByFor) {
        return this->picked;
    }
    this->pickedAt = now;
    this->picked = nullptr;
    if (!this->view) {
        return nullptr;
    }
    std::tuple<bool, bool, bool, std::uint64_t> best;
    for (const Member &member : this->view->members()) {
        if (!member.isRelay || member.isLeaving || member.session == this->self || this->isRecent(this->silent, member.session)) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(this->self.value(), member.session.value());
        const bool isBehind = this->isRecent(this->behind, member.session);
        const std::tuple rank(!isBehind, !member.hasLostStore, member.failureDomain == this->domain, weight);
        if (this->picked == nullptr || rank > best) {
            this->picked = &member;
            best = rank;
        }
    }
    return this->picked;
}

} // namespace Dogwoodkeel
