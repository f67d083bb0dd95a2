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
 * The numbers a node publishes for Prometheus. May be used from any thread. Its series are made once and found again
 * without the registry, whose look-up by labels takes a lock and allocates: too much for something done for each token.
 */
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    /** An answer was given. @param kind online, service, lookup or job @param result how it ended, a fixed word */
    void countAnswer(std::string_view kind, std::string_view result);
    /** A try failed and another was made. @param reason a fixed word */
    void countRetry(std::string_view reason);
    /** The platform was called. @param kind read or write @param cause what for @param outcome a fixed word */
    void countPlatformCall(std::string_view kind, std::string_view cause, std::string_view outcome);

    void observeFirstToken(std::string_view kind, std::chrono::microseconds wait);
    void observeBetweenTokens(std::string_view kind, std::chrono::microseconds wait);
    void observeTotal(std::string_view kind, std::chrono::microseconds wait);
    /** How long a request waited before it was sent to an endpoint. */
    void observeQueueing(std::string_view kind, std::chrono::microseconds wait);

    /** A tenant sent a request: the largest are shown by name. */
    void countRequest(const WorkspaceName &tenant);
    void observeFirstToken(const WorkspaceName &tenant, std::chrono::microseconds wait);
    void observeBetweenTokens(const WorkspaceName &tenant, std::chrono::microseconds wait);
    void observeTotal(const WorkspaceName &tenant, std::chrono::microseconds wait);
    void observeQueueing(const WorkspaceName &tenant, std::chrono::microseconds wait);

    /** @return all numbers in the text format that Prometheus reads. */
    std::string text() const;

private:
    class Series;

    std::shared_ptr<prometheus::Registry> registry;
    std::unique_ptr<Series> series;
};

} // namespace Dogwoodkeel
