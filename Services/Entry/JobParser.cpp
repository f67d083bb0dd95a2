#include <Services/Entry/JobParser.h>

#include <LibBase/JsonDepth.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t maxFindings = 20;
/** A job of large items gets fewer items per chunk, so that a chunk stays near this size. The rule depends only on the
    items, so that a resend produces the same chunks. */
constexpr std::size_t targetChunkBytes = 4194304;

std::string dump(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

JobParser::JobParser(JobBounds bounds) : bounds(bounds)
{
}

void JobParser::feed(std::string_view data)
{
    this->hash.add(data);
    while (!data.empty() && !this->hasTooManyFindings()) {
        const std::size_t end = data.find('\n');
        const std::string_view part = data.substr(0, end);
        if (this->line.size() + part.size() <= this->bounds.itemBytes) {
            this->line.append(part);
        } else {
            this->isLineTooLong = true;
        }
        if (end == std::string_view::npos) {
            return;
        }
        data.remove_prefix(end + 1);
        this->finishLine();
    }
}

void JobParser::end()
{
    if (!this->line.empty() || this->isLineTooLong) {
        this->finishLine();
    }
    if (this->itemsInChunk > 0) {
        this->closeChunk();
    }
    if (this->count == 0 && this->found.isEmpty()) {
        this->found.add({"body", 0, 0}, "the job has no items");
    }
}

void JobParser::finishLine()
{
    const std::uint32_t number = this->lineNumber++;
    std::string completeLine = std::exchange(this->line, {});
    if (std::exchange(this->isLineTooLong, false)) {
        this->found.add({"body", number, 1}, "the item is larger than " + std::to_string(this->bounds.itemBytes) + " bytes");
        return;
    }
    if (completeLine.ends_with('\r')) {
        completeLine.pop_back();
    }
    if (completeLine.empty() || this->hasTooManyFindings()) {
        return;
    }
    const std::string problem = this->checkItem(completeLine);
    if (!problem.empty()) {
        this->found.add({"body", number, 1}, problem);
        return;
    }
    ++this->count;
    ++this->itemsInChunk;
    if (this->count == this->bounds.items + 1) {
        this->found.add({"body", number, 1}, "the job has more than " + std::to_string(this->bounds.items) + " items");
    }
    const bool isFirstFull = this->perChunk == 0 && this->currentChunk.items.size() >= targetChunkBytes;
    const std::size_t maxItems = this->perChunk > 0 ? this->perChunk : this->bounds.itemsPerObject;
    if (isFirstFull || this->itemsInChunk >= maxItems) {
        this->closeChunk();
    }
}

std::string JobParser::checkItem(std::string_view line)
{
    if (isNestedTooDeep(line)) {
        return "the item is nested too deep";
    }
    nlohmann::json item = nlohmann::json::parse(line, nullptr, false);
    if (!item.is_object()) {
        return "the item is no JSON object";
    }
    nlohmann::json customId;
    if (item.contains("body")) {
        customId = item.value("custom_id", nlohmann::json());
        if (!customId.is_string()) {
            return "the item has a body but no custom_id that is text";
        }
        item = nlohmann::json(std::move(item["body"]));
        if (!item.is_object()) {
            return "the item's body is no JSON object";
        }
    }
    const auto modelField = item.find("model");
    if (modelField == item.end() || !modelField->is_string()) {
        return "the item names no model";
    }
    if (!item.contains("prompt") && !item.contains("messages")) {
        return "the item has neither a prompt nor messages";
    }
    if (this->modelName.empty()) {
        this->modelName = modelField->get<std::string>();
    }
    if (*modelField != this->modelName) {
        return "the item is for another model than the first";
    }
    this->hasIds = this->hasIds || customId.is_string();
    this->currentIds += (this->currentIds.empty() ? "" : ",") + dump(customId);
    this->currentChunk.items.append(customId.is_string() ? dump(item) : std::string(line)).push_back('\n');
    return {};
}

void JobParser::closeChunk()
{
    this->perChunk = std::max(this->perChunk, this->itemsInChunk);
    if (this->hasIds) {
        this->currentChunk.customIds = '[' + this->currentIds + ']';
    }
    this->fullChunks.push_back(std::exchange(this->currentChunk, {}));
    this->currentIds.clear();
    this->itemsInChunk = 0;
}

std::optional<ItemChunk> JobParser::popChunk()
{
    if (this->fullChunks.empty()) {
        return std::nullopt;
    }
    ItemChunk chunk = std::move(this->fullChunks.front());
    this->fullChunks.pop_front();
    return chunk;
}

std::size_t JobParser::pendingChunks() const
{
    return this->fullChunks.size();
}

const Findings &JobParser::findings() const
{
    return this->found;
}

bool JobParser::hasTooManyFindings() const
{
    return this->found.all().size() >= maxFindings;
}

const std::string &JobParser::model() const
{
    return this->modelName;
}

std::uint32_t JobParser::itemCount() const
{
    return this->count;
}

std::uint32_t JobParser::itemsPerChunk() const
{
    return this->perChunk;
}

std::uint64_t JobParser::fingerprint() const
{
    return this->hash.value();
}

} // namespace Dogwoodkeel
