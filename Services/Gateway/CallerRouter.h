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
 * Takes each request of a caller, decides by the configuration in force whether it is served, and passes it on.
 *
 * What this node's configuration refuses may be allowed by a newer one of which other nodes tell. Such a request waits for that
 * configuration for a bounded time; a refusal by a configuration that is known to be out of date would not be true.
 */
class CallerRouter
{
public:
    CallerRouter(GatewayContext &context, ConfigurationFollower &configuration, JobApi &jobs);
    ~CallerRouter();
    CallerRouter(const CallerRouter &) = delete;
    CallerRouter &operator=(const CallerRouter &) = delete;

    /** A request has come. */
    void handle(const std::shared_ptr<CallerExchange> &exchange);

    /** A newer configuration is in force. */
    void retryHeld();

private:
    /** A request that the configuration in force refuses and a newer one may allow. */
    struct Held
    {
        std::shared_ptr<CallerExchange> exchange;
        Credentials credentials;
        SteadyTime until{};
    };

    Access decide(const CallerExchange &exchange, const Credentials &credentials) const;
    void route(const std::shared_ptr<CallerExchange> &exchange, const Access &access);
    void consider(const Held &request);
    void hold(const Held &request);
    void look();
    void refuse(CallerExchange &exchange, const Access &access);
    void refuseUnknown(CallerExchange &exchange, std::chrono::milliseconds retryAfter, std::string_view reason);
    void reject(CallerExchange &exchange, int status, const HeaderList &headers, std::string_view reason);

    GatewayContext &context;
    ConfigurationFollower &configuration;
    JobApi &jobs;
    std::vector<Held> held;
    TimerId timer = 0;
};

} // namespace Dogwoodkeel
