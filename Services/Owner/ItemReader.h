#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibWire/Generated/Messages.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/** Reads batch items out of the objects that hold them, one item a line, and keeps the objects read last. */
class ItemReader
{
public:
    using ItemRead = std::function<void(std::optional<std::string>)>;

    /** @param objectsKept how many objects to keep in memory */
    ItemReader(ObjectStore &objects, std::size_t objectsKept);

    /** @param read gets the item's line, or nothing if it cannot be read now */
    void read(const JobRecord &job, std::uint32_t index, ItemRead read);

private:
    using Lines = std::shared_ptr<const std::vector<std::string>>;

    void keep(const std::string &key, Lines lines);

    ObjectStore &objects;
    std::size_t objectsKept;
    std::unordered_map<std::string, Lines> kept;
    std::list<std::string> byAge;
    std::unordered_map<std::string, std::vector<std::function<void(Lines)>>> loading;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
