#include <Services/Entry/CustomIds.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t maxCachedObjects = 64;

} // namespace

struct CustomIds::Search
{
    std::uint32_t next = 0;
    std::uint32_t end = 0;
    std::uint32_t perObject = 1;
    std::vector<std::string> idObjects;
    Ids ids;
    Found found;
};

CustomIds::CustomIds(ObjectStore &objects) : objects(objects)
{
}

std::string CustomIds::keyOf(const JobId &job)
{
    return "ids/" + job.value();
}

std::string CustomIds::manifest(std::uint32_t itemsPerObject, const std::vector<std::string> &idObjects)
{
    return nlohmann::json({{"items_per_object", itemsPerObject}, {"objects", idObjects}}).dump();
}

void CustomIds::find(const JobId &job, std::uint32_t from, std::uint32_t count, Found found)
{
    const auto search = std::make_shared<Search>();
    search->next = from;
    search->end = from + count;
    search->found = std::move(found);
    this->get(keyOf(job), [this, search](ReadOutcome outcome, const std::string &content) {
        this->onManifest(search, outcome, content);
    });
}

void CustomIds::onManifest(const std::shared_ptr<Search> &search, ReadOutcome outcome, const std::string &content)
{
    if (outcome == ReadOutcome::Failed) {
        search->found(std::nullopt);
        return;
    }
    const nlohmann::json manifest = nlohmann::json::parse(content, nullptr, false);
    if (outcome == ReadOutcome::Absent || !manifest.is_object()) {
        search->found(Ids(search->end - search->next));
        return;
    }
    search->perObject = std::max(1U, manifest.value("items_per_object", 1U));
    search->idObjects = manifest.value("objects", std::vector<std::string>());
    this->next(search);
}

void CustomIds::next(const std::shared_ptr<Search> &search)
{
    const std::uint32_t object = search->next / search->perObject;
    if (search->next >= search->end || object >= search->idObjects.size()) {
        search->found(std::move(search->ids));
        return;
    }
    this->get(search->idObjects[object], [this, search](ReadOutcome outcome, const std::string &content) {
        const nlohmann::json ids = nlohmann::json::parse(content, nullptr, false);
        if (outcome != ReadOutcome::Found || !ids.is_array()) {
            search->found(std::nullopt);
            return;
        }
        const std::uint32_t start = search->next % search->perObject;
        const std::uint32_t objectEnd = search->next - start + search->perObject;
        for (std::uint32_t i = start; search->next < std::min(search->end, objectEnd); ++i, ++search->next) {
            const bool hasId = i < ids.size() && ids[i].is_string();
            search->ids.push_back(hasId ? std::optional(ids[i].get<std::string>()) : std::nullopt);
        }
        this->next(search);
    });
}

void CustomIds::get(const std::string &key, std::function<void(ReadOutcome, const std::string &)> onRead)
{
    const auto found = this->cache.find(key);
    if (found != this->cache.end()) {
        onRead(ReadOutcome::Found, found->second);
        return;
    }
    this->objects.get(key, [this, key, onRead = std::move(onRead)](const ObjectResult &result) {
        if (result.outcome == ReadOutcome::Found && this->cache.emplace(key, result.content).second) {
            this->cachedKeys.push_back(key);
            if (this->cachedKeys.size() > maxCachedObjects) {
                this->cache.erase(this->cachedKeys.front());
                this->cachedKeys.pop_front();
            }
        }
        onRead(result.outcome, result.content);
    });
}

} // namespace Dogwoodkeel
