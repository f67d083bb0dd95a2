#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <string>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * Bounds the retries of a tenant and towards an endpoint. Without it, an outage turns each request into as many attempts
 * as are allowed, which keeps the endpoints that come back from coming back.
 *
 * A success pays for a share of a retry, so that retries stay a share of the traffic that works; a small allowance by
 * time serves tenants with little traffic. In a total outage nothing succeeds, and retries fall to that allowance.
 */
class RetryBudget
{
public:
    /** Sizes. */
    struct Options
    {
        /** Retries that one success pays for. */
        double perSuccess = 0.2;
        /** Retries a second that are free. */
        double perSecond = 1;
        /** Retries that may be saved up: as many requests of one tenant as a node may lose with one endpoint. */
        double burst = 20;
        /** Buckets kept at most; past it the whole map starts anew, which errs by one full bucket for each. */
        std::size_t buckets = 100000;
    };

    RetryBudget(const Clock &clock, Options options);

    /** Other sizes from now on; what was saved up stays, up to the new bound. */
    void setOptions(const Options &options);

    /** An attempt succeeded. */
    void recordSuccess(const WorkspaceName &tenant, const EndpointName &endpoint);

    /**
     * Take a retry out of both budgets, or out of none.
     * @param endpoint where the retry is to go
     * @return whether the retry may be made
     */
    bool tryConsume(const WorkspaceName &tenant, const EndpointName &endpoint);

private:
    struct Bucket
    {
        double level = 0;
        SteadyTime at{};
    };

    Bucket &refilled(std::unordered_map<std::string, Bucket> &buckets, const std::string &key);

    const Clock &clock;
    Options options;
    std::unordered_map<std::string, Bucket> tenants;
    std::unordered_map<std::string, Bucket> endpoints;
};

} // namespace Dogwoodkeel
