#include <Services/Lane/EngineReport.h>

#include <LibBase/JsonCounts.h>

namespace Dogwoodkeel
{

std::optional<EngineReport> parseEngineReport(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto leaving = json.find("leaving");
    const bool isLeaving = leaving != json.end() && leaving->is_boolean() && leaving->get<bool>();
    return EngineReport{{countIn(json, "running"), countIn(json, "queued")}, isLeaving};
}

} // namespace Dogwoodkeel
