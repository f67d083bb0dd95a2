#pragma once

#include <LibPlatform/ObjectStore.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Reads objects of one kind and caches the most recently used ones, up to a number of bytes. Concurrent reads of an object
 * share one request.
 * @tparam Content parsed content of an object
 */
template <typename Content>
class ObjectCache
{
public:
    using Pointer = std::shared_ptr<const Content>;
    /** Receives the content, or null if it cannot be read now. */
    using Read = std::function<void(const Pointer &)>;
    /** Parses the bytes of an object. Returns null if they are invalid. */
    using Parse = std::function<Pointer(const std::string &)>;

    ObjectCache(ObjectStore &objects, std::size_t maxBytes, Parse parse)
        : objects(objects), maxBytes(maxBytes), parse(std::move(parse))
    {
    }

    ~ObjectCache()
    {
        *this->alive = false;
    }

    ObjectCache(const ObjectCache &) = delete;
    ObjectCache &operator=(const ObjectCache &) = delete;

    void read(const std::string &key, Read read)
    {
        const auto found = this->cache.find(key);
        if (found != this->cache.end()) {
            this->usageOrder.splice(this->usageOrder.end(), this->usageOrder, found->second.use);
            read(found->second.content);
            return;
        }
        const auto [waiting, isFirst] = this->loading.try_emplace(key);
        waiting->second.push_back(std::move(read));
        if (!isFirst) {
            return;
        }
        this->objects.get(key, [this, key, alive = this->alive](const ObjectResult &result) {
            if (*alive) {
                this->loaded(key, result);
            }
        });
    }

private:
    struct CachedObject
    {
        Pointer content;
        std::size_t bytes = 0;
        std::list<std::string>::iterator use;
    };

    void loaded(const std::string &key, const ObjectResult &result)
    {
        Pointer content;
        if (result.outcome == ReadOutcome::Found) {
            content = this->parse(result.content);
        }
        if (content != nullptr) {
            this->cache[key] = {content, result.content.size(), this->usageOrder.insert(this->usageOrder.end(), key)};
            this->bytes += result.content.size();
        }
        while (this->bytes > this->maxBytes && this->usageOrder.size() > 1) {
            const auto oldest = this->cache.find(this->usageOrder.front());
            this->bytes -= oldest->second.bytes;
            this->cache.erase(oldest);
            this->usageOrder.pop_front();
        }
        auto waiting = this->loading.extract(key);
        for (const Read &each : waiting.mapped()) {
            each(content);
        }
    }

    ObjectStore &objects;
    std::size_t maxBytes;
    Parse parse;
    std::size_t bytes = 0;
    std::unordered_map<std::string, CachedObject> cache;
    /** Keys of the cached objects, least recently used first. */
    std::list<std::string> usageOrder;
    std::unordered_map<std::string, std::vector<Read>> loading;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
