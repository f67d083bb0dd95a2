#pragma once

#include <LibPlatform/Outcomes.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** A row as it was read. */
struct Row
{
    std::string key;
    std::string value;
    RowVersion version = 0;
};

/** Result of reading one row. */
struct RowResult
{
    ReadOutcome outcome = ReadOutcome::Failed;
    /** Set with Found. */
    Row row;
};

/** Result of a range read. */
struct RowsResult
{
    /** Found (also if there are no rows) or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<Row> rows;
};

/** Condition on a row that must hold for a transaction to take effect. */
struct RowCondition
{
    std::string key;
    /** The expected version; nothing: the row must be absent. */
    std::optional<RowVersion> version;
};

/** A change of a row. */
struct RowWrite
{
    std::string key;
    /** The new value; nothing: the row is removed. */
    std::optional<std::string> value;
};

/** Changes that take effect atomically, if all conditions hold. */
struct Transaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/**
 * The platform's transactional table service. Must be called from the owning loop only; callbacks run on that loop, never from
 * inside the call.
 */
class TableService
{
public:
    using RowRead = std::function<void(RowResult)>;
    using RowsRead = std::function<void(RowsResult)>;
    using Written = std::function<void(WriteOutcome)>;

    virtual ~TableService() = default;

    virtual void read(const std::string &key, RowRead done) = 0;

    /**
     * Reads rows in key order.
     * @param from first key, inclusive
     * @param to end key, exclusive
     * @param limit max number of rows
     */
    virtual void readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done) = 0;

    virtual void transact(const Transaction &transaction, Written done) = 0;

    /** Writes a row that must be absent. */
    void insertIfAbsent(const std::string &key, std::string value, Written done)
    {
        this->transact({{{key, std::nullopt}}, {{key, std::move(value)}}}, std::move(done));
    }
};

} // namespace Dogwoodkeel
