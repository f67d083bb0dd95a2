#pragma once

#include <LibBase/Identifiers.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus
{
class Registry;
}

namespace Dogwoodkeel
{

/**
 * Metrics that a node publishes for Prometheus. May be used from any thread. Series are created once and cached: the
 * registry's lookup by labels locks and allocates, which is too expensive for each token.
 */
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    /** Counts an answer. @param kind online, service, lookup or job @param result how it ended, a fixed word */
    void countAnswer(std::string_view kind, std::string_view result);
    /** Counts a retry after a failed attempt. @param reason a fixed word */
    void countRetry(std::string_view reason);
    /** Counts a call to the platform. @param kind read or write @param cause purpose @param outcome a fixed word */
    void countPlatformCall(std::string_view kind, std::string_view cause, std::string_view outcome);

    void observeFirstToken(std::string_view kind, std::chrono::microseconds wait);
    void observeBetweenTokens(std::string_view kind, std::chrono::microseconds wait);
    void observeTotal(std::string_view kind, std::chrono::microseconds wait);
    /** Records how long a request waited before it was sent to an endpoint. */
    void observeQueueing(std::string_view kind, std::chrono::microseconds wait);

    /** Counts a request of a tenant; only the largest tenants are shown by name. */
    void countRequest(const WorkspaceName &tenant);
    void observeFirstToken(const WorkspaceName &tenant, std::chrono::microseconds wait);
    void observeBetweenTokens(const WorkspaceName &tenant, std::chrono::microseconds wait);
    void observeTotal(const WorkspaceName &tenant, std::chrono::microseconds wait);
    void observeQueueing(const WorkspaceName &tenant, std::chrono::microseconds wait);

    /** @return all metrics in the Prometheus text format. */
    std::string text() const;

private:
    class Series;

    std::shared_ptr<prometheus::Registry> registry;
    std::unique_ptr<Series> series;
};

} // namespace Dogwoodkeel
