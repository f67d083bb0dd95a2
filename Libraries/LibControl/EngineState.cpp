#include <LibControl/EngineState.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Dogwoodkeel::EngineProtocol
{

namespace
{

using Json = nlohmann::json;

Json toJson(const EngineState &state)
{
    return {{"model", state.model}, {"version", state.version}, {"adapters", state.adapters}, {"role", state.role}};
}

std::string textIn(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberIn(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

EngineState stateOf(const Json &json)
{
    EngineState state{textIn(json, "model"), textIn(json, "version"), {}, textIn(json, "role")};
    const auto adapters = json.find("adapters");
    if (adapters != json.end() && adapters->is_array()) {
        for (const Json &adapter : *adapters) {
            if (adapter.is_string()) {
                state.adapters.push_back(adapter.get<std::string>());
            }
        }
    }
    std::ranges::sort(state.adapters);
    return state;
}

std::optional<Json> parseObject(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    return json.is_object() ? std::optional(std::move(json)) : std::nullopt;
}

} // namespace

std::string format(const EngineOrder &order)
{
    Json json = toJson(order.state);
    json["fence"] = order.fence;
    return json.dump();
}

std::optional<EngineOrder> parseOrder(std::string_view body)
{
    const auto json = parseObject(body);
    return json ? std::optional(EngineOrder{stateOf(*json), numberIn(*json, "fence")}) : std::nullopt;
}

std::string format(const EngineStateReport &report)
{
    Json json = toJson(report.state);
    if (report.loading) {
        json["loading"] = toJson(*report.loading);
    }
    json["fence"] = report.fence;
    json["requests"] = report.requests;
    json["errors"] = report.errors;
    return json.dump();
}

std::optional<EngineStateReport> parseReport(std::string_view body)
{
    const auto json = parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    EngineStateReport report{
        stateOf(*json), {}, numberIn(*json, "fence"), numberIn(*json, "requests"), numberIn(*json, "errors")};
    const auto loading = json->find("loading");
    if (loading != json->end() && loading->is_object()) {
        report.loading = stateOf(*loading);
    }
    return report;
}

} // namespace Dogwoodkeel::EngineProtocol
