#pragma once

#include <LibPlatform/RowStore.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Dogwoodkeel
{

/** A table of the store as it was followed, for those who follow it through this node. */
class TableMirror
{
public:
    /** Take the whole table as it was at a version. */
    void replaceAll(const std::vector<StoredRow> &rows, RowVersion version);

    /** Take a change of a row. */
    void apply(const StoredRow &row);

    /** All changes up to a version have been taken. */
    void advanceTo(RowVersion version);

    /** @return whether the table has been taken whole. */
    bool isRead() const;

    /** @return up to which version the changes have been taken. */
    RowVersion version() const;

    /** @return what changed after a version, in order; HistoryLost if it isn't known any more what was removed since. */
    FollowResult changesSince(RowVersion since) const;

    /** @return rows of a part in key order, from a key on. @param most how many at most */
    RowRangeResult read(const std::string &part, const std::string &from, std::size_t most) const;

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, StoredRow> rows;
    /** Several rows have one version if one transaction put them. */
    std::set<std::pair<RowVersion, Key>> byVersion;
    /** Removed rows, by the order of their removal. */
    std::deque<StoredRow> removed;
    /** What was removed up to this version is not known. */
    RowVersion historyFrom = 0;
    RowVersion latest = 0;
};

} // namespace Dogwoodkeel
