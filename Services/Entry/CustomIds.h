#pragma once

#include <LibBase/Identifiers.h>
#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Reads the custom ids that a job's items were submitted with. They are not part of the journal: a manifest object
 * lists the objects that hold them, one for each chunk of items. Caches a bounded number of these objects in memory.
 */
class CustomIds
{
public:
    /** Custom ids of consecutive items; nothing for an item without one. */
    using Ids = std::vector<std::optional<std::string>>;
    /** Receives the ids, or nothing if they could not be read from the platform. */
    using Found = std::function<void(std::optional<Ids>)>;

    explicit CustomIds(ObjectStore &objects);

    /**
     * @param from index of the first item
     * @param count number of items
     */
    void find(const JobId &job, std::uint32_t from, std::uint32_t count, Found found);

    /** @return key of a job's manifest object. */
    static std::string keyOf(const JobId &job);

    /** @return content of the manifest object. */
    static std::string manifest(std::uint32_t itemsPerObject, const std::vector<std::string> &idObjects);

private:
    struct Search;

    void get(const std::string &key, std::function<void(ReadOutcome, const std::string &)> onRead);
    void onManifest(const std::shared_ptr<Search> &search, ReadOutcome outcome, const std::string &content);
    void next(const std::shared_ptr<Search> &search);

    ObjectStore &objects;
    std::map<std::string, std::string> cache;
    std::deque<std::string> cachedKeys;
};

} // namespace Dogwoodkeel
