#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <string>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * Limits the retries per tenant and per endpoint. Without it, an outage multiplies each request by the number of
 * allowed attempts, which prevents recovering endpoints from becoming available.
 *
 * Each success adds a fraction of a retry, so that retries remain a fixed share of the successful traffic. A small
 * allowance per second covers tenants with little traffic. In a total outage nothing succeeds, and retries fall to that
 * allowance.
 */
class RetryBudget
{
public:
    /** Rates and sizes of the token buckets. */
    struct Options
    {
        /** Retries that each success adds. */
        double perSuccess = 0.2;
        /** Retries a second that are added regardless of successes. */
        double perSecond = 1;
        /**
         * Maximum number of accumulated retries: the requests of one tenant that a node may lose together with one
         * endpoint.
         */
        double burst = 20;
        /**
         * Maximum number of buckets. Beyond it the whole map is cleared, which grants each tenant or endpoint one extra
         * full bucket.
         */
        std::size_t buckets = 100000;
    };

    RetryBudget(const Clock &clock, Options options);

    /** Replaces the options; accumulated retries remain, up to the new maximum. */
    void setOptions(const Options &options);

    /** Records a successful attempt. */
    void recordSuccess(const WorkspaceName &tenant, const EndpointName &endpoint);

    /**
     * Consumes a retry from both budgets, or from none.
     * @param endpoint the endpoint that the retry is sent to
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
