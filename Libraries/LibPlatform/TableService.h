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

/** The answer to a read of one row. */
struct RowResult
{
    ReadOutcome outcome = ReadOutcome::Failed;
    /** With Found. */
    Row row;
};

/** The answer to a ranged read. */
struct RowsResult
{
    /** Found (also when there are no rows) or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<Row> rows;
};

/** What must hold of a row for a transaction to take effect. */
struct RowCondition
{
    std::string key;
    /** The version it must have; nothing: it must be absent. */
    std::optional<RowVersion> version;
};

/** A change of a row. */
struct RowWrite
{
    std::string key;
    /** The new value; nothing: the row is removed. */
    std::optional<std::string> value;
};

/** Changes that take effect together, if all conditions hold. */
struct Transaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/**
 * The platform's transactional table service. Calls may be made from the owning loop only; answers come on that loop,
 * never from inside the call.
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
     * Read rows in key order.
     * @param from the first key
     * @param to the key behind the last
     * @param limit how many at most
     */
    virtual void readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done) = 0;

    virtual void transact(const Transaction &transaction, Written done) = 0;

    /** Write a row that must be absent. */
    void insertIfAbsent(const std::string &key, std::string value, Written done)
    {
        this->transact({{{key, std::nullopt}}, {{key, std::move(value)}}}, std::move(done));
    }
};

} // namespace Dogwoodkeel
