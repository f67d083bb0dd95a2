#pragma once

#include <LibPlatform/Outcomes.h>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Identifies a row. A transaction on rows of one part costs nothing extra; changes within a part are serialized. */
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

/** Condition on a row that must hold for a transaction to take effect. */
struct RowExpectation
{
    RowKey key;
    /** The expected version; 0: the row must be absent. */
    RowVersion version = 0;
};

/** A new value of a row. */
struct RowPut
{
    RowKey key;
    std::string value;
};

/** Changes that take effect atomically, if all expectations hold. */
struct RowTransaction
{
    std::vector<RowExpectation> expectations;
    std::vector<RowPut> puts;
    std::vector<RowKey> removals;
};

/** Result of a transaction. */
struct RowTransactionResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    /** With Done: the new version of all rows that it put. */
    RowVersion version = 0;
    /** With Refused: those expected rows that exist, in their current state. */
    std::vector<StoredRow> current;
};

/** Range of rows of one part, in key order. */
struct RowRange
{
    std::string table;
    std::string part;
    /** First key, inclusive; empty: from the start. */
    std::string from;
    /** End key, exclusive; empty: to the end. */
    std::string to;
    /** Max number of rows; 0: as many as one answer can hold. */
    std::size_t limit = 0;
};

/** Result of a range read: a snapshot of one moment. */
struct RowRangeResult
{
    /** Found, also if there are no rows, or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<StoredRow> rows;
    /** Whether the range has more rows than were returned. */
    bool isTruncated = false;
    /** The newest version of any row at that moment: the version from which to follow the table. */
    RowVersion version = 0;
};

/** Result of listing the parts of a table that have rows. */
struct RowPartsResult
{
    /** Found, also if there are none, or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<std::string> parts;
};

/** Outcome of following a table. */
enum class FollowOutcome {
    /** The changes, possibly none, up to the reported version. */
    Followed,
    /** The history since the requested version is no longer retained: the table must be read again. */
    HistoryLost,
    /** No answer. */
    Failed,
};

/** Changes of a table, in the order of their versions. */
struct FollowResult
{
    FollowOutcome outcome = FollowOutcome::Failed;
    std::vector<StoredRow> rows;
    RowVersion version = 0;
};

/** Receives the answer to a call of a feed. */
template <typename Result>
class FeedCallback
{
public:
    /** @param answered receives the result */
    template <std::invocable<Result> Function>
    FeedCallback(Function answered) : answered(std::move(answered))
    {
    }

    /** @param progressed is called whenever a part of the answer has arrived: a large one may take long on a slow link */
    FeedCallback(std::function<void(Result)> answered, std::function<void()> progressed)
        : answered(std::move(answered)), progressed(std::move(progressed))
    {
    }

    void operator()(Result result) const
    {
        this->answered(std::move(result));
    }

    /** @return the hook to call whenever a part of the answer has arrived; never empty. */
    const std::function<void()> &progress() const
    {
        return this->progressed;
    }

private:
    std::function<void(Result)> answered;
    std::function<void()> progressed = [] {};
};

/** Tables that can be read and followed. Callbacks run on the owning loop, never from inside the call. */
class RowFeed
{
public:
    virtual ~RowFeed() = default;

    virtual void read(RowRange range, FeedCallback<RowRangeResult> done) = 0;

    /**
     * Requests the changes of a table since a version; answered as soon as there is one (long poll).
     * @param wait how long the platform may wait for a change
     */
    virtual void
    follow(const std::string &table, RowVersion since, std::chrono::milliseconds wait, FeedCallback<FollowResult> done)
        = 0;
};

/** The platform's rows and objects. */
class RowStore : public RowFeed
{
public:
    virtual void transact(RowTransaction transaction, std::function<void(RowTransactionResult)> done) = 0;

    /** Lists parts of a table in order. @param after the last part of the previous page; empty: from the start */
    virtual void listParts(const std::string &table, const std::string &after, std::function<void(RowPartsResult)> done) = 0;

    /** Writes an object. An existing object of that name is left unchanged and reported as written. */
    virtual void putObject(const std::string &name, std::string content, std::function<void(WriteOutcome)> done) = 0;
    virtual void readObject(const std::string &name, std::function<void(ReadOutcome, std::string)> done) = 0;
    virtual void removeObject(const std::string &name, std::function<void(WriteOutcome)> done) = 0;
};

} // namespace Dogwoodkeel
