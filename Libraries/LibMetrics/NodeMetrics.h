#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace prometheus
{
class Registry;
}

namespace Dogwoodkeel
{

/** The numbers a node publishes for Prometheus. May be used from any thread. */
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    /** An answer was given. @param kind online, service or job @param result how it ended, a fixed word */
    void countAnswer(const std::string &kind, const std::string &result);
    /** A try failed and another was made. @param reason a fixed word */
    void countRetry(const std::string &reason);
    void observeFirstToken(const std::string &kind, std::chrono::microseconds wait);
    void observeBetweenTokens(const std::string &kind, std::chrono::microseconds wait);
    void observeTotal(const std::string &kind, std::chrono::microseconds wait);

    /** @return all numbers in the text format that Prometheus reads. */
    std::string text() const;

private:
    struct Families;

    std::shared_ptr<prometheus::Registry> registry;
    std::unique_ptr<Families> families;
};

} // namespace Dogwoodkeel
