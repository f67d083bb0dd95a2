#pragma once

#include <LibGateway/CallerAccess.h>
#include <LibProxy/CallerExchange.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/ConfigurationFollower.h>
#include <Services/Gateway/GatewayContext.h>
#include <Services/Gateway/JobApi.h>

#include <memory>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Decides by the configuration in force whether a caller's request is served, and passes it to the class that serves it.
 *
 * A request that this node's configuration refuses may be allowed by a newer one that other nodes have announced. Such a request
 * is held for a bounded time until that configuration arrives, as a refusal by an outdated configuration may be wrong.
 */
class CallerRouter
{
public:
    CallerRouter(GatewayContext &context, ConfigurationFollower &configuration, JobApi &jobs);
    ~CallerRouter();
    CallerRouter(const CallerRouter &) = delete;
    CallerRouter &operator=(const CallerRouter &) = delete;

    /** Handles a new request. */
    void handle(const std::shared_ptr<CallerExchange> &exchange);

    /** Decides the held requests again, after a newer configuration has come into force. */
    void retryHeld();

private:
    /** A request that the configuration in force refuses and a newer one may allow. */
    struct HeldRequest
    {
        std::shared_ptr<CallerExchange> exchange;
        Credentials credentials;
        SteadyTime until{};
    };

    Access decide(const CallerExchange &exchange, const Credentials &credentials) const;
    /** Ends the call of a batch job if this node stops too soon to serve it. @return whether it was ended */
    bool endIfStopping(CallerExchange &exchange);
    void route(const std::shared_ptr<CallerExchange> &exchange, const Access &access);
    void process(const HeldRequest &request);
    void hold(const HeldRequest &request);
    void expireHeld();
    void refuse(CallerExchange &exchange, const Access &access);
    void refuseTemporarily(CallerExchange &exchange, std::chrono::milliseconds retryAfter, std::string_view reason);
    void reject(CallerExchange &exchange, int status, const HeaderList &headers, std::string_view reason);

    GatewayContext &context;
    ConfigurationFollower &configuration;
    JobApi &jobs;
    std::vector<HeldRequest> heldRequests;
    TimerId timer = 0;
};

} // namespace Dogwoodkeel
