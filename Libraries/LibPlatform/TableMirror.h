#pragma once

#include <LibPlatform/RowStore.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Dogwoodkeel
{

/** Local copy of a table of the store, which serves the nodes that follow the table through this node. */
class TableMirror
{
public:
    /** Replaces the whole table by a snapshot at a version; rows that it lacks are recorded as removed. */
    void replaceAll(const std::vector<StoredRow> &rows, RowVersion version);

    /** Applies a change of a row. */
    void apply(const StoredRow &row);

    /** Records that all changes up to a version have been applied. */
    void advanceTo(RowVersion version);

    /** @return whether the table has been read completely. */
    bool isRead() const;

    /** @return the version up to which changes have been applied. */
    RowVersion version() const;

    /** @return the changes after a version, in order; HistoryLost if the removals since then are no longer known. */
    FollowResult changesSince(RowVersion since) const;

    /** @return rows of a part in key order, starting at a key. @param limit max number of rows */
    RowRangeResult read(const std::string &part, const std::string &from, std::size_t limit) const;

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, StoredRow> rows;
    /** Rows that one transaction put share a version. */
    std::set<std::pair<RowVersion, Key>> byVersion;
    /** Removed rows, in the order of their removal. */
    std::deque<StoredRow> removed;
    /** Removals up to this version are unknown. */
    RowVersion historyStart = 0;
    RowVersion latest = 0;
};

} // namespace Dogwoodkeel
