#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/TableMirror.h>
#include <LibWire/Generated/Messages.h>
#include <LibWire/PeerServer.h>
#include <Services/Gateway/TableFollower.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Follows some tables of the store on behalf of this node and of the nodes that follow them through it, while this node is a
 * relay. A table for which the store does not answer is not served: its followers would take the absence of changes for an
 * unchanged table.
 */
class TableRelay
{
public:
    struct Options
    {
        std::vector<std::string> tables;
        /** How long the store may wait for a change before it answers. */
        std::chrono::milliseconds storeWait{1000};
        std::uint64_t seed = 0;
    };

    TableRelay(Scheduler &scheduler, RowFeed &store, Options options);
    ~TableRelay();
    TableRelay(const TableRelay &) = delete;
    TableRelay &operator=(const TableRelay &) = delete;

    using EncodeRow = std::function<FeedRow(const StoredRow &)>;

    /** Registers the handlers for requests of other nodes. @param encodeRow converts a row to the message for another node */
    void serve(PeerServer &server, const EncodeRow &encodeRow);

    /** Starts or stops following the tables. */
    void setActive(bool isActive);

    /** Queries the store again without delay. */
    void refresh();

    /** @return whether a table can be read and followed through this relay at present. */
    bool isCurrent(const std::string &table) const;

    /** @return rows of this relay's copy of a table; fails if the table is not current. */
    RowRangeResult read(const RowRange &range) const;

    /** See RowFeed::follow(). Fails at once if the table is not current, and as soon as it ceases to be. */
    void
    follow(const std::string &table, RowVersion since, std::chrono::milliseconds wait, std::function<void(FollowResult)> done);

private:
    using WaiterId = std::uint64_t;

    /** A pending request for the next change of a table. */
    struct Waiter
    {
        RowVersion since = 0;
        std::function<void(FollowResult)> done;
        TimerId timer = 0;
    };

    struct Table
    {
        std::string name;
        TableMirror mirror;
        /** Whether the store answered the last request. */
        bool isStoreAnswering = false;
        std::map<WaiterId, Waiter> waiters;
        std::unique_ptr<TableFollower> follower;
    };

    void start(Table &table);
    void stop(Table &table);
    void notifyWaiters(Table &table);
    void complete(Table &table, WaiterId id, const FollowResult &result);
    static void logLargeAnswers(const Table &table, const std::vector<std::pair<WaiterId, FollowResult>> &answers);
    FeedAnswer answer(const FeedReadRequest &request, const EncodeRow &encodeRow) const;

    Scheduler &scheduler;
    RowFeed &store;
    Options options;
    std::map<std::string, Table> tables;
    WaiterId lastWaiter = 0;
};

/** @return the message for a row, with its value. */
FeedRow encodeWholeRow(const StoredRow &row);

/** Converts the result of following a table to the message for another node, and back. */
FeedAnswer encodeFeed(const FollowResult &result, const TableRelay::EncodeRow &encodeRow = &encodeWholeRow);
FollowResult decodeFeed(const FeedAnswer &answer, const std::string &table);

} // namespace Dogwoodkeel
