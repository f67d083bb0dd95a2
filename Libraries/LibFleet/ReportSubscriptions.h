#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Tracks which nodes subscribe to the load reports of the endpoints that this node polls. A node subscribes only to
 * endpoints that it uses, states the shortest interval at which it accepts reports, and renews before the subscription
 * expires. So the traffic between nodes is bounded by the receiver, and subscriptions of a lost node expire.
 */
class ReportSubscriptions
{
public:
    /** Reports that are due to be sent to one node. */
    struct Due
    {
        SessionNumber to;
        std::vector<EndpointName> endpoints;
    };

    /** Adds or renews a subscription. @param interval shortest time between two reports */
    void
    renew(SessionNumber from, std::chrono::milliseconds interval, const std::vector<EndpointName> &endpoints, SteadyTime now);

    /** Returns the reports that are due and records them as sent. */
    std::vector<Due> due(SteadyTime now);

    /**
     * @param replicas number of replicas that a node subscribes to
     * @param bytesPerSecond traffic that the node accepts
     * @param poll interval at which new reports are available
     * @return the interval between reports
     */
    static std::chrono::milliseconds interval(std::size_t replicas, std::size_t bytesPerSecond, std::chrono::milliseconds poll);

    /** @return the interval between renewals, which is long enough to keep their cost small compared to the reports */
    static std::chrono::milliseconds renewal(std::chrono::milliseconds interval);

private:
    struct Subscriber
    {
        std::chrono::milliseconds interval{0};
        SteadyTime sent{};
        /** Expiry of the subscription to each endpoint. */
        std::map<EndpointName, SteadyTime> until;
    };

    std::map<SessionNumber, Subscriber> subscribers;
};

} // namespace Dogwoodkeel
