#include <LibControl/ConfigurationJson.h>

#include <nlohmann/json.hpp>

#include <chrono>

namespace Dogwoodkeel::ConfigurationJson
{

using Json = nlohmann::json;

Json describe(const ConfigurationRow &row)
{
    const auto created = std::chrono::duration_cast<std::chrono::seconds>(row.created.time_since_epoch());
    return {{"version", row.number}, {"author", row.author}, {"reason", row.reason}, {"created", created.count()}};
}

Json format(const ConfigurationRow &row, const ConfigurationContent &content)
{
    Json json = describe(row);
    json["base"] = content.base;
    json["overlays"] = Json::array();
    for (const ConfigurationOverlay &overlay : content.overlays) {
        json["overlays"].push_back({{"site", overlay.site}, {"text", overlay.text}});
    }
    return json;
}

std::optional<ConfigurationContent> parseContent(const Json &json)
{
    if (!json.is_object() || !json.contains("base") || !json["base"].is_string()) {
        return std::nullopt;
    }
    ConfigurationContent content;
    content.base = json["base"].get<std::string>();
    for (const Json &overlay : json.value("overlays", Json::array())) {
        const bool isWellFormed = overlay.is_object() && overlay.contains("site") && overlay["site"].is_string()
            && overlay.contains("text") && overlay["text"].is_string();
        if (!isWellFormed) {
            return std::nullopt;
        }
        content.overlays.push_back({overlay["site"].get<std::string>(), overlay["text"].get<std::string>()});
    }
    return content;
}

Json format(const ConfigurationProposal &proposal)
{
    Json json = format(ConfigurationRow{}, proposal.content);
    json["edited"] = proposal.edited;
    json["nonce"] = proposal.nonce;
    json["reason"] = proposal.reason;
    return json;
}

std::optional<ConfigurationProposal> parseProposal(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    auto content = parseContent(json);
    const bool isWellFormed = content && json.contains("edited") && json["edited"].is_number_unsigned() && json.contains("nonce")
        && json["nonce"].is_string() && json.value("reason", Json("")).is_string();
    if (!isWellFormed) {
        return std::nullopt;
    }
    ConfigurationProposal proposal;
    proposal.edited = json["edited"].get<std::uint64_t>();
    proposal.nonce = json["nonce"].get<std::string>();
    proposal.reason = json.value("reason", std::string());
    proposal.content = *std::move(content);
    return proposal;
}

Json format(const Findings &findings)
{
    Json list = Json::array();
    for (const Finding &finding : findings.all()) {
        list.push_back({{"file", finding.place.file},
                        {"line", finding.place.line},
                        {"column", finding.place.column},
                        {"message", finding.message}});
    }
    return list;
}

} // namespace Dogwoodkeel::ConfigurationJson
