#include <Services/Entry/LimitSharing.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds demandInterval{500};
/** How long a share is valid without being renewed; it covers the loss of a few datagrams. */
constexpr std::chrono::milliseconds grantLifetime{3000};
/** How long a node's demand counts at the member that splits the limits. */
constexpr std::chrono::milliseconds demandLifetime{2000};
/** Tenants in one datagram. */
constexpr std::size_t tenantsPerDatagram = 24;

std::uint32_t roundUp(double value)
{
    return static_cast<std::uint32_t>(std::clamp(std::ceil(value), 0.0, 4e9));
}

} // namespace

LimitSharing::LimitSharing(
    EventLoop &loop, const Clock &clock, const SettingsHandle &settings, DatagramSocket &socket, SessionNumber self)
    : loop(loop)
    , settings(settings)
    , socket(socket)
    , self(self)
    , view(std::make_shared<MemberView>(std::vector<Member>()))
    , splitter(clock, demandLifetime)
    , limits(std::make_shared<TenantLimits>(clock, grantLifetime, [this](const WorkspaceName &tenant, LimitClass kind) {
        return this->limitOf(tenant, kind);
    }))
{
    this->settingsChanged();
    this->loop.schedule(demandInterval, [this] {
        this->sendDemands();
    });
}

void LimitSharing::setView(MemberViewPointer view)
{
    this->view = std::move(view);
    this->limits->setNodes(this->view->members().size());
}

void LimitSharing::setSession(SessionNumber self)
{
    this->self = self;
}

void LimitSharing::settingsChanged()
{
    this->tenants.clear();
    for (const TenantSettings &tenant : this->settings->tenants) {
        this->tenants.emplace(WorkspaceName(tenant.name), tenant);
    }
}

std::optional<RequestLimit> LimitSharing::limitOf(const WorkspaceName &tenant, LimitClass kind) const
{
    const auto found = this->tenants.find(tenant);
    if (found == this->tenants.end()) {
        return std::nullopt;
    }
    const TenantSettings &settings = found->second;
    if (kind == LimitClass::Lookup) {
        return RequestLimit{settings.lookupRate, static_cast<double>(settings.lookupConcurrency)};
    }
    return RequestLimit{settings.rate, static_cast<double>(settings.concurrency)};
}

LimitSharing::Admitted LimitSharing::admit(const WorkspaceName &tenant, LimitClass kind)
{
    if (const auto retryAfter = this->limits->admit(tenant, kind)) {
        return {nullptr, *retryAfter};
    }
    const auto release = [limits = this->limits, tenant, kind](void *) {
        limits->release(tenant, kind);
    };
    return {Hold(this, release), {}};
}

void LimitSharing::sendDemands()
{
    std::map<SessionNumber, std::vector<LimitAmount>> byMember;
    for (const TenantDemand &demand : this->limits->demands()) {
        if (const Member *const member = this->view->ownerOf(stableHash(demand.tenant.value()))) {
            byMember[member->session].push_back({demand.tenant,
                                                 demand.kind == LimitClass::Lookup,
                                                 roundUp(demand.wanted.perSecond),
                                                 roundUp(demand.wanted.concurrency)});
        }
    }
    for (auto &[session, amounts] : byMember) {
        for (std::size_t from = 0; from < amounts.size(); from += tenantsPerDatagram) {
            const auto first = amounts.begin() + static_cast<std::ptrdiff_t>(from);
            const auto last = amounts.begin() + static_cast<std::ptrdiff_t>(std::min(from + tenantsPerDatagram, amounts.size()));
            const LimitDemands demands{this->self, {first, last}};
            if (session == this->self) {
                this->receive(this->split(demands));
            } else {
                this->socket.send(this->view->find(session)->fleet, demands);
            }
        }
    }
    this->loop.schedule(demandInterval, [this] {
        this->sendDemands();
    });
}

LimitShares LimitSharing::split(const LimitDemands &demands)
{
    LimitShares shares{this->self, {}};
    for (const LimitAmount &amount : demands.amounts) {
        const LimitClass kind = amount.isLookup ? LimitClass::Lookup : LimitClass::Online;
        if (const auto limit = this->limitOf(amount.tenant, kind)) {
            const RequestLimit wanted{static_cast<double>(amount.perSecond), static_cast<double>(amount.concurrency)};
            const RequestLimit part = this->splitter.split(demands.from, {amount.tenant, kind, wanted}, *limit);
            shares.amounts.push_back({amount.tenant, amount.isLookup, roundUp(part.perSecond), roundUp(part.concurrency)});
        }
    }
    return shares;
}

void LimitSharing::receive(const LimitDemands &demands)
{
    if (const Member *const member = this->view->find(demands.from)) {
        this->socket.send(member->fleet, this->split(demands));
    }
}

void LimitSharing::receive(const LimitShares &shares)
{
    for (const LimitAmount &amount : shares.amounts) {
        this->limits->grant(amount.tenant,
                            amount.isLookup ? LimitClass::Lookup : LimitClass::Online,
                            {static_cast<double>(amount.perSecond), static_cast<double>(amount.concurrency)});
    }
}

} // namespace Dogwoodkeel
