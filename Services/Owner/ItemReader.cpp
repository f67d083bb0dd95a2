#include <Services/Owner/ItemReader.h>

#include <sstream>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

std::vector<std::string> splitLines(const std::string &content)
{
    std::vector<std::string> lines;
    std::istringstream stream(content);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace

ItemReader::ItemReader(ObjectStore &objects, std::size_t objectsKept) : objects(objects), objectsKept(objectsKept)
{
}

void ItemReader::read(const JobRecord &job, std::uint32_t index, ItemRead read)
{
    const std::uint32_t object = index / job.itemsPerObject;
    const std::uint32_t line = index % job.itemsPerObject;
    const std::string &key = job.itemObjects.at(object);
    auto deliver = [line, read = std::move(read)](const Lines &lines) {
        const bool isThere = lines != nullptr && line < lines->size();
        read(isThere ? std::optional((*lines)[line]) : std::nullopt);
    };
    const auto found = this->kept.find(key);
    if (found != this->kept.end()) {
        deliver(found->second);
        return;
    }
    const auto [waiting, isFirst] = this->loading.try_emplace(key);
    waiting->second.push_back(std::move(deliver));
    if (!isFirst) {
        return;
    }
    this->objects.get(key, [this, key, alive = this->alive](const ObjectResult &result) {
        if (!*alive) {
            return;
        }
        Lines lines;
        if (result.outcome == ReadOutcome::Found) {
            lines = std::make_shared<const std::vector<std::string>>(splitLines(result.content));
            this->keep(key, lines);
        }
        auto loaded = this->loading.extract(key);
        for (const auto &each : loaded.mapped()) {
            each(lines);
        }
    });
}

void ItemReader::keep(const std::string &key, Lines lines)
{
    this->kept[key] = std::move(lines);
    this->byAge.push_back(key);
    if (this->byAge.size() > this->objectsKept) {
        this->kept.erase(this->byAge.front());
        this->byAge.pop_front();
    }
}

} // namespace Dogwoodkeel
