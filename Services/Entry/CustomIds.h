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
 * Finds the custom ids that a job's items were submitted with. They are no part of the journal: an object names the
 * objects that hold them, a chunk of items each. A bounded number of these is kept in memory.
 */
class CustomIds
{
public:
    /** Ids of consecutive items; nothing for an item that has none. */
    using Ids = std::vector<std::optional<std::string>>;
    /** Gets the ids, or nothing if the platform gave no answer. */
    using Found = std::function<void(std::optional<Ids>)>;

    explicit CustomIds(ObjectStore &objects);

    /**
     * @param from index of the first item
     * @param count how many items
     */
    void find(const JobId &job, std::uint32_t from, std::uint32_t count, Found found);

    /** @return key of the object that names a job's id objects. */
    static std::string keyOf(const JobId &job);

    /** @return what that object holds. */
    static std::string manifest(std::uint32_t itemsPerObject, const std::vector<std::string> &idObjects);

private:
    struct Search;

    void get(const std::string &key, std::function<void(ReadOutcome, const std::string &)> got);
    void onManifest(const std::shared_ptr<Search> &search, ReadOutcome outcome, const std::string &content);
    void next(const std::shared_ptr<Search> &search);

    ObjectStore &objects;
    std::map<std::string, std::string> kept;
    std::deque<std::string> byAge;
};

} // namespace Dogwoodkeel
