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
 * Enforces tenants' limits across all nodes. A node that comes near to its share of a limit sends its demand to the
 * member that splits this tenant's limits (selected by rendezvous hashing) and receives its share in return, by
 * datagrams twice a second. If that member or a datagram is lost, nodes keep their last shares for a while and then
 * use even ones.
 */
class LimitSharing
{
public:
    /** Keeps a request counted against its limit until it is destroyed. */
    using Hold = std::shared_ptr<void>;

    /** Result of an admission: a hold, or the time after which to retry. */
    struct Admitted
    {
        /** Null if it was refused. */
        Hold hold;
        std::chrono::milliseconds retryAfter{0};
    };

    LimitSharing(EventLoop &loop, const Clock &clock, const SettingsHandle &settings, DatagramSocket &socket, SessionNumber self);

    void setView(MemberViewPointer view);

    /** Continues under another session number. */
    void setSession(SessionNumber self);

    /** Rebuilds the tenants' limits from the replaced settings. */
    void settingsChanged();

    Admitted admit(const WorkspaceName &tenant, LimitClass kind);

    void receive(const LimitDemands &demands);
    void receive(const LimitShares &shares);

private:
    void sendDemands();
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
