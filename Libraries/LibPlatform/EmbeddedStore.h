#pragma once

#include <LibPlatform/TableService.h>

#include <map>
#include <mutex>
#include <string>

namespace Dogwoodkeel
{

/** In-memory data of an embedded platform. Thread-safe, shared by the tasks of one process; nothing is persisted. */
class EmbeddedStore
{
public:
    /** @return the row, or nothing if it is absent. */
    std::optional<Row> read(const std::string &key) const;
    std::vector<Row> readRange(const std::string &from, const std::string &to, std::size_t limit) const;
    /** @return whether all conditions held and the writes took effect. */
    bool transact(const Transaction &transaction);

    /** @return whether the object was absent and has been written. */
    bool putIfAbsent(const std::string &key, const std::string &content);
    std::optional<std::string> get(const std::string &key) const;
    std::vector<std::string> list(const std::string &prefix) const;
    void remove(const std::string &key);

private:
    struct VersionedValue
    {
        std::string value;
        RowVersion version = 0;
    };

    bool isMet(const RowCondition &condition) const;

    mutable std::mutex mutex;
    RowVersion lastVersion = 0;
    std::map<std::string, VersionedValue> rows;
    std::map<std::string, std::string> objects;
};

} // namespace Dogwoodkeel
