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

/** Orders to engines, put together on the control task: the lease, the reconciler and the HTTP calls of the engines. */
class OrderService
{
public:
    /** @param configuration tells what is in force */
    OrderService(EventLoop &loop,
                 const Clock &clock,
                 Platform &platform,
                 SessionNumber self,
                 const Settings &settings,
                 std::function<Reconciler::Configuration()> configuration);

    void start();

    /** Another view of the members: tells which nodes look at the lease often. */
    void setView(const MemberView &view);

    /** This node goes on as another session. */
    void setSession(SessionNumber session);

    /** Give the lease up, as planned. */
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
