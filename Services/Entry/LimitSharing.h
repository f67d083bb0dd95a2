#pragma once

#include <LibMembership/MemberView.h>
#include <LibRouting/TenantLimits.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>

#include <memory>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * Limits of tenants that hold for all nodes together. A node that comes near to its share of one tells how much it could
 * use to the member that splits this tenant's limits (rendezvous hashing), and gets its part back, by datagrams twice a
 * second. Losing that member, or a datagram, leaves the nodes with their last parts for a while, and then with even ones.
 */
class LimitSharing
{
public:
    /** Keeps a request counted until it is destroyed. */
    using Hold = std::shared_ptr<void>;

    /** A request was taken in, or when there is room for it. */
    struct Admitted
    {
        /** Null if it was refused. */
        Hold hold;
        std::chrono::milliseconds retryAfter{0};
    };

    LimitSharing(EventLoop &loop, const Clock &clock, const SettingsHandle &settings, DatagramSocket &socket, SessionNumber self);

    void setView(MemberViewPointer view);

    /** This node goes on as another session. */
    void setSession(SessionNumber self);

    /** The settings were replaced. */
    void settingsChanged();

    Admitted admit(const WorkspaceName &tenant, LimitClass kind);

    void receive(const LimitDemands &demands);
    void receive(const LimitShares &shares);

private:
    void tell();
    std::optional<RequestLimit> limitOf(const WorkspaceName &tenant, LimitClass kind) const;
    LimitShares split(const LimitDemands &demands);

    EventLoop &loop;
    const SettingsHandle &settings;
    DatagramSocket &socket;
    SessionNumber self;
    MemberViewPointer view;
    std::unordered_map<WorkspaceName, TenantSettings> tenants;
    LimitSplitter splitter;
    /** Shared with the holds, which may outlive this. */
    std::shared_ptr<TenantLimits> limits;
};

} // namespace Dogwoodkeel
