#include <LibFleet/ReportSubscriptions.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Size of a report in a datagram, including its share of the datagram's overhead. */
constexpr std::size_t bytesPerReport = 100;
constexpr int intervalsPerRenewal = 4;
/** Lifetime of a subscription in report intervals; two renewals may be lost before it expires. */
constexpr int intervalsPerSubscription = 10;

} // namespace

void ReportSubscriptions::renew(SessionNumber from,
                                std::chrono::milliseconds interval,
                                const std::vector<EndpointName> &endpoints,
                                SteadyTime now)
{
    Subscriber &subscriber = this->subscribers[from];
    subscriber.interval = interval;
    for (const EndpointName &endpoint : endpoints) {
        subscriber.until[endpoint] = now + interval * intervalsPerSubscription;
    }
}

std::vector<ReportSubscriptions::Due> ReportSubscriptions::due(SteadyTime now)
{
    std::vector<Due> all;
    for (auto &[session, subscriber] : this->subscribers) {
        std::erase_if(subscriber.until, [now](const auto &entry) {
            return entry.second <= now;
        });
        if (subscriber.until.empty() || now - subscriber.sent < subscriber.interval) {
            continue;
        }
        subscriber.sent = now;
        Due due{session, {}};
        for (const auto &[endpoint, until] : subscriber.until) {
            due.endpoints.push_back(endpoint);
        }
        all.push_back(std::move(due));
    }
    std::erase_if(this->subscribers, [](const auto &entry) {
        return entry.second.until.empty();
    });
    return all;
}

std::chrono::milliseconds
ReportSubscriptions::interval(std::size_t replicas, std::size_t bytesPerSecond, std::chrono::milliseconds poll)
{
    const auto affordable
        = std::chrono::milliseconds(1000 * replicas * bytesPerReport / std::max<std::size_t>(1, bytesPerSecond));
    return std::max(poll, affordable);
}

std::chrono::milliseconds ReportSubscriptions::renewal(std::chrono::milliseconds interval)
{
    return interval * intervalsPerRenewal;
}

} // namespace Dogwoodkeel
