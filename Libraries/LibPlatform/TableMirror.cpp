#include <LibPlatform/TableMirror.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Bounds the memory use. A node that follows without a pause misses no removals within this number. */
constexpr std::size_t maxRemovals = 4096;

} // namespace

void TableMirror::replaceAll(const std::vector<StoredRow> &rows, RowVersion version)
{
    // Rows missing from the snapshot were removed while the history was lost; with them, followers need not read the table again.
    std::set<Key> present;
    for (const StoredRow &row : rows) {
        present.emplace(row.key.part, row.key.key);
    }
    std::vector<StoredRow> removedRows;
    for (const auto &[key, row] : this->rows) {
        if (!present.contains(key)) {
            removedRows.push_back({row.key, {}, version, true});
        }
    }
    if (this->latest == 0) {
        this->historyStart = version;
    }
    for (const StoredRow &row : removedRows) {
        this->apply(row);
    }
    for (const StoredRow &row : rows) {
        this->apply(row);
    }
    this->advanceTo(version);
}

void TableMirror::apply(const StoredRow &row)
{
    const Key key(row.key.part, row.key.key);
    const auto known = this->rows.find(key);
    if (known != this->rows.end()) {
        this->byVersion.erase({known->second.version, key});
        this->rows.erase(known);
    }
    this->latest = std::max(this->latest, row.version);
    if (!row.isRemoved) {
        this->byVersion.emplace(row.version, key);
        this->rows.emplace(key, row);
        return;
    }
    this->removed.push_back(row);
    if (this->removed.size() > maxRemovals) {
        this->historyStart = std::max(this->historyStart, this->removed.front().version);
        this->removed.pop_front();
    }
}

void TableMirror::advanceTo(RowVersion version)
{
    this->latest = std::max(this->latest, version);
}

bool TableMirror::isRead() const
{
    return this->latest > 0;
}

RowVersion TableMirror::version() const
{
    return this->latest;
}

FollowResult TableMirror::changesSince(RowVersion since) const
{
    FollowResult result;
    result.version = std::max(this->latest, since);
    if (since < this->historyStart) {
        result.outcome = FollowOutcome::HistoryLost;
        return result;
    }
    result.outcome = FollowOutcome::Followed;
    const std::pair<RowVersion, Key> first(since + 1, Key());
    for (auto changed = this->byVersion.lower_bound(first); changed != this->byVersion.end(); ++changed) {
        result.rows.push_back(this->rows.at(changed->second));
    }
    for (const StoredRow &row : this->removed) {
        if (row.version > since) {
            result.rows.push_back(row);
        }
    }
    std::ranges::sort(result.rows, {}, &StoredRow::version);
    return result;
}

RowRangeResult TableMirror::read(const std::string &part, const std::string &from, std::size_t limit) const
{
    RowRangeResult result;
    result.outcome = ReadOutcome::Found;
    result.version = this->latest;
    for (auto row = this->rows.lower_bound(Key(part, from)); row != this->rows.end() && row->first.first == part; ++row) {
        if (result.rows.size() == limit) {
            result.isTruncated = true;
            break;
        }
        result.rows.push_back(row->second);
    }
    return result;
}

} // namespace Dogwoodkeel
