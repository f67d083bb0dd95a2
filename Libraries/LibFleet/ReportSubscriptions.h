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
 * Which nodes want the load reports of the endpoints that this node polls. A node asks only for what it uses, says how
 * often it can take reports, and asks again before its interest ends; so what flows between nodes is bounded at the
 * receiver, and a lost node is forgotten.
 */
class ReportSubscriptions
{
public:
    /** Reports to send to one node. */
    struct Due
    {
        SessionNumber to;
        std::vector<EndpointName> endpoints;
    };

    /** A node asked for reports, or asked again. @param interval how far apart they may come at the closest */
    void
    renew(SessionNumber from, std::chrono::milliseconds interval, const std::vector<EndpointName> &endpoints, SteadyTime now);

    /** @return what is to be sent now; it counts as sent. */
    std::vector<Due> due(SteadyTime now);

    /**
     * @param replicas how many a node wants reports of
     * @param bytesPerSecond what it can take
     * @param poll how often there is a new report
     * @return how far apart its reports have to be
     */
    static std::chrono::milliseconds interval(std::size_t replicas, std::size_t bytesPerSecond, std::chrono::milliseconds poll);

    /** @return how often a node asks again: rarely enough that asking costs little beside the reports. */
    static std::chrono::milliseconds renewal(std::chrono::milliseconds interval);

private:
    struct Subscriber
    {
        std::chrono::milliseconds interval{0};
        SteadyTime sent{};
        /** Until when each endpoint's reports are wanted. */
        std::map<EndpointName, SteadyTime> until;
    };

    std::map<SessionNumber, Subscriber> subscribers;
};

} // namespace Dogwoodkeel
