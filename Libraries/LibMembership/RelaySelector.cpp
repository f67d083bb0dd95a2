#include <LibMembership/RelaySelector.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <tuple>

namespace Dogwoodkeel
{

namespace
{

/** How long an unresponsive or outdated relay is avoided: several times the timeout of a response. */
constexpr std::chrono::milliseconds avoidanceTime{5000};

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
    this->selectedAt.reset();
}

bool RelaySelector::isRecent(const Times &times, SessionNumber relay) const
{
    const auto found = times.find(relay);
    return found != times.end() && this->clock.now() - found->second < avoidanceTime;
}

void RelaySelector::record(Times &times, SessionNumber relay)
{
    const SteadyTime now = this->clock.now();
    times.insert_or_assign(relay, now);
    std::erase_if(times, [now](const auto &entry) {
        return now - entry.second >= avoidanceTime;
    });
    this->selectedAt.reset();
}

void RelaySelector::recordUnresponsive(SessionNumber relay)
{
    this->record(this->unresponsive, relay);
}

void RelaySelector::recordOutdated(SessionNumber relay)
{
    this->record(this->outdated, relay);
}

bool RelaySelector::hasNoResponsiveRelay()
{
    return this->select() == nullptr && std::ranges::any_of(this->unresponsive, [this](const auto &entry) {
               return this->isRecent(this->unresponsive, entry.first);
           });
}

const Member *RelaySelector::select()
{
    const SteadyTime now = this->clock.now();
    if (this->selectedAt && now - *this->selectedAt < avoidanceTime) {
        return this->selected;
    }
    this->selectedAt = now;
    this->selected = nullptr;
    if (!this->view) {
        return nullptr;
    }
    std::tuple<bool, bool, bool, std::uint64_t> bestRank;
    for (const Member &member : this->view->members()) {
        if (!member.isRelay || member.isLeaving || member.session == this->self
            || this->isRecent(this->unresponsive, member.session)) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(this->self.value(), member.session.value());
        const bool isOutdated = this->isRecent(this->outdated, member.session);
        const std::tuple rank(!isOutdated, !member.hasLostStore, member.failureDomain == this->domain, weight);
        if (this->selected == nullptr || rank > bestRank) {
            this->selected = &member;
            bestRank = rank;
        }
    }
    return this->selected;
}

} // namespace Dogwoodkeel
