#pragma once

#include <LibPlatform/TableService.h>

#include <map>
#include <mutex>
#include <string>

namespace Dogwoodkeel
{

/** The data of an embedded platform, shared by the tasks of one process. Nothing outlives the process. */
class EmbeddedStore
{
public:
    /** @return the row, or nothing if it is absent. */
    std::optional<Row> read(const std::string &key) const;
    std::vector<Row> readRange(const std::string &from, const std::string &to, std::size_t limit) const;
    /** @return whether all conditions held and the writes took effect. */
    bool transact(const Transaction &transaction);

    /** @return whether the object was absent and is written. */
    bool putIfAbsent(const std::string &key, const std::string &content);
    std::optional<std::string> get(const std::string &key) const;
    std::vector<std::string> list(const std::string &prefix) const;
    void remove(const std::string &key);

private:
    struct Stored
    {
        std::string value;
        RowVersion version = 0;
    };

    bool holds(const RowCondition &condition) const;

    mutable std::mutex mutex;
    RowVersion lastVersion = 0;
    std::map<std::string, Stored> rows;
    std::map<std::string, std::string> objects;
};

} // namespace Dogwoodkeel
