#pragma once

#include <LibControl/OrderLease.h>
#include <LibHttp/HttpClient.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/Platform.h>
#include <LibTask/EventLoop.h>
#include <Services/Control/Reconciler.h>

#include <functional>
#include <string>

namespace Dogwoodkeel
{

/** Gives orders to engines, on the control task. Combines the lease, the reconciler and the HTTP calls of the engines. */
class OrderService
{
public:
    /** @param configuration returns the configuration in force */
    OrderService(EventLoop &loop,
                 const Clock &clock,
                 Platform &platform,
                 SessionNumber self,
                 const Settings &settings,
                 std::function<Reconciler::Configuration()> configuration);

    void start();

    /** Applies a new view of the members, from which this node's rank in checking the lease is computed. */
    void setView(const MemberView &view);

    /** Sets the session number under which this node continues. */
    void setSession(SessionNumber session);

    /** Releases the lease in a planned way, without letting it expire. */
    void release();

    StatusPart status() const;

private:
    Reconciler::Hooks engineHooks(std::function<Reconciler::Configuration()> configuration);

    HttpClient http;
    SessionNumber self;
    std::string site;
    OrderLease lease;
    Reconciler reconciler;
};

} // namespace Dogwoodkeel
