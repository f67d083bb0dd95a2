#include <Services/Entry/EndpointReports.h>

#include <LibBase/JsonCounts.h>
#include <LibBase/Numbers.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

/** One day. The time that a report takes to this node is added to its age, and the sum must not wrap. */
constexpr std::uint32_t maxAgeMilliseconds = 86'400'000;
constexpr std::size_t maxAdapters = 256;
constexpr std::size_t maxNameLength = 128;

std::string textIn(const Json &object, const char *name, std::size_t maxLength)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get_ref<const std::string &>().substr(0, maxLength)
                                                       : std::string();
}

bool flagIn(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

} // namespace

std::optional<ReplicaReport> parseLoadReport(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !(json.contains("running") || json.contains("leaving"))) {
        return {};
    }
    ReplicaReport report;
    report.inFlight = saturatingSum(countIn(json, "running"), countIn(json, "queued"));
    report.ageMilliseconds = std::min(countIn(json, "age_ms"), maxAgeMilliseconds);
    report.isLeaving = flagIn(json, "leaving");
    report.instance = textIn(json, "instance", maxNameLength);
    report.version = textIn(json, "version", maxNameLength);
    const auto adapters = json.find("adapters");
    if (adapters != json.end() && adapters->is_array()) {
        for (const Json &adapter : *adapters) {
            if (adapter.is_string() && report.adapters.size() < maxAdapters) {
                report.adapters.push_back(adapter.get_ref<const std::string &>().substr(0, maxNameLength));
            }
        }
    }
    return report;
}

std::vector<CacheEvent> parseCacheEvents(const std::string &body)
{
    std::vector<CacheEvent> events;
    const Json json = Json::parse(body, nullptr, false);
    const auto listed = json.is_object() ? json.find("events") : json.end();
    if (listed == json.end() || !listed->is_array()) {
        return events;
    }
    for (const Json &event : *listed) {
        if (!event.is_object()) {
            continue;
        }
        events.push_back({countIn<std::uint64_t>(event, "number"),
                          textIn(event, "kind", maxNameLength) == "stored",
                          countIn<std::uint64_t>(event, "hash"),
                          countIn<std::uint64_t>(event, "parent"),
                          textIn(event, "text", maxNameLength)});
    }
    return events;
}

} // namespace Dogwoodkeel
