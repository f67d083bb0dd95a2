#include <Services/Entry/JobParser.h>

#include <nlohmann/json.hpp>

#include <string_view>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t findingsShown = 20;

/** @return what is wrong with an item, or an empty text; takes its model. */
std::string checkItem(std::string_view line, const JobBounds &bounds, std::string &model)
{
    if (line.size() > bounds.itemBytes) {
        return "the item is larger than " + std::to_string(bounds.itemBytes) + " bytes";
    }
    const nlohmann::json item = nlohmann::json::parse(line, nullptr, false);
    if (!item.is_object()) {
        return "the item is no JSON object";
    }
    const auto named = item.find("model");
    if (named == item.end() || !named->is_string()) {
        return "the item names no model";
    }
    if (!item.contains("prompt") && !item.contains("messages")) {
        return "the item has neither a prompt nor messages";
    }
    if (model.empty()) {
        model = named->get<std::string>();
    }
    return *named == model ? std::string() : "the item is for another model than the first";
}

} // namespace

ParsedJob parseJob(const std::string &body, const JobBounds &bounds, Findings &findings)
{
    ParsedJob job;
    std::string_view rest = body;
    std::uint32_t lineNumber = 0;
    while (!rest.empty() && findings.all().size() < findingsShown) {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        std::string_view line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        ++lineNumber;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            continue;
        }
        const std::string problem = checkItem(line, bounds, job.model);
        if (!problem.empty()) {
            findings.add({"body", lineNumber, 1}, problem);
            continue;
        }
        if (job.itemCount % bounds.itemsPerObject == 0) {
            job.objects.emplace_back();
        }
        job.objects.back().append(line).push_back('\n');
        ++job.itemCount;
    }
    if (job.itemCount == 0 && findings.isEmpty()) {
        findings.add({"body", 0, 0}, "the job has no items");
    }
    if (job.itemCount > bounds.items) {
        findings.add({"body", 0, 0}, "the job has more than " + std::to_string(bounds.items) + " items");
    }
    return job;
}

} // namespace Dogwoodkeel
