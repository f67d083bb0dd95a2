#pragma once

#include <LibPlatform/Outcomes.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Where a row lies. Rows of one part are changed together at no extra cost, and one after the other. */
struct RowKey
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

/** A row as it was read, or as it was when it was removed. */
struct StoredRow
{
    RowKey key;
    std::string value;
    RowVersion version = 0;
    bool isRemoved = false;
};

/** What must hold of a row for a transaction to take effect. */
struct RowExpectation
{
    RowKey key;
    /** The version that it must have; 0: it must be absent. */
    RowVersion version = 0;
};

/** A new value of a row. */
struct RowPut
{
    RowKey key;
    std::string value;
};

/** Changes that take effect together, if all expectations hold. */
struct RowTransaction
{
    std::vector<RowExpectation> expectations;
    std::vector<RowPut> puts;
    std::vector<RowKey> removals;
};

/** What became of a transaction. */
struct RowTransactionResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    /** With Done: the version that all rows put by it have now. */
    RowVersion version = 0;
    /** With Refused: the expected rows that are there, as they are now. */
    std::vector<StoredRow> current;
};

/** Rows of one part in key order. */
struct RowRange
{
    std::string table;
    std::string part;
    /** The first key; empty: from the start. */
    std::string from;
    /** The key behind the last; empty: to the end. */
    std::string to;
    /** How many rows at most; 0: as many as one answer holds. */
    std::size_t limit = 0;
};

/** The answer to a ranged read, as of one moment. */
struct RowRangeResult
{
    /** Found, also when there are no rows, or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<StoredRow> rows;
    /** Whether there are more rows than were answered. */
    bool isTruncated = false;
    /** The newest version of any row at that moment: where to follow a table from. */
    RowVersion version = 0;
};

/** The parts of a table that have rows. */
struct RowPartsResult
{
    /** Found, also when there are none, or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<std::string> parts;
};

/** What became of following a table. */
enum class FollowOutcome {
    /** The changes, possibly none, up to the version told. */
    Followed,
    /** The history since then is not kept: the table has to be read anew. */
    HistoryLost,
    /** No answer. */
    Failed,
};

/** Changes of a table in their order. */
struct FollowResult
{
    FollowOutcome outcome = FollowOutcome::Failed;
    std::vector<StoredRow> rows;
    RowVersion version = 0;
};

/** Tables that can be read and followed. Answers come on the owning loop, never from inside the call. */
class RowFeed
{
public:
    virtual ~RowFeed() = default;

    virtual void read(RowRange range, std::function<void(RowRangeResult)> done) = 0;

    /**
     * Ask for the changes of a table since a version; answered as soon as there is one.
     * @param wait how long the platform may wait for one
     */
    virtual void
    follow(const std::string &table, RowVersion since, std::chrono::milliseconds wait, std::function<void(FollowResult)> done)
        = 0;
};

/** The platform's rows and objects. */
class RowStore : public RowFeed
{
public:
    virtual void transact(RowTransaction transaction, std::function<void(RowTransactionResult)> done) = 0;

    /** List parts of a table in order. @param after the last part of the answer before; empty: from the start */
    virtual void listParts(const std::string &table, const std::string &after, std::function<void(RowPartsResult)> done) = 0;

    /** Write an object. One of that name that is there is left as it is, and counts as written. */
    virtual void putObject(const std::string &name, std::string content, std::function<void(WriteOutcome)> done) = 0;
    virtual void readObject(const std::string &name, std::function<void(ReadOutcome, std::string)> done) = 0;
    virtual void removeObject(const std::string &name, std::function<void(WriteOutcome)> done) = 0;
};

} // namespace Dogwoodkeel
