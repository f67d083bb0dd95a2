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
#include <vector>

namespace Dogwoodkeel
{

/**
 * Follows some tables of the store for this node and for those that follow them through it, while this node is a relay.
 *
 * A table that the store does not answer for is told to nobody: who follows it here would take silence for calm.
 */
class TableRelay
{
public:
    struct Options
    {
        std::vector<std::string> tables;
        /** How long the store is asked to wait for a change. */
        std::chrono::milliseconds storeWait{1000};
        std::uint64_t seed = 0;
    };

    TableRelay(Scheduler &scheduler, RowFeed &store, Options options);
    ~TableRelay();
    TableRelay(const TableRelay &) = delete;
    TableRelay &operator=(const TableRelay &) = delete;

    /** Answer the requests of other nodes. */
    void serve(PeerServer &server);

    /** Begin or end to follow the tables. */
    void setActive(bool isActive);

    /** Ask the store anew, at once. */
    void refresh();

    /** @return whether a table can be read and followed here now. */
    bool isCurrent(const std::string &table) const;

    /** Rows of a table that is current, as it was followed. */
    RowRangeResult read(const RowRange &range) const;

    /** See RowFeed::follow(); fails at once if the table is not current, and when it is not any more. */
    void
    follow(const std::string &table, RowVersion since, std::chrono::milliseconds wait, std::function<void(FollowResult)> done);

private:
    using WaitingId = std::uint64_t;

    /** Somebody who waits for a change. */
    struct Waiting
    {
        RowVersion since = 0;
        std::function<void(FollowResult)> done;
        TimerId timer = 0;
    };

    struct Table
    {
        TableMirror mirror;
        /** Whether the store answered when it was asked last. */
        bool isAnswered = false;
        std::map<WaitingId, Waiting> waiting;
        std::unique_ptr<TableFollower> follower;
    };

    void start(const std::string &name, Table &table);
    void stop(Table &table);
    void tellWaiting(Table &table);
    void end(Table &table, WaitingId id, const FollowResult &result);
    FeedAnswer answer(const FeedReadRequest &request) const;

    Scheduler &scheduler;
    RowFeed &store;
    Options options;
    std::map<std::string, Table> tables;
    WaitingId lastWaiting = 0;
};

/** @return a result of following as it is told to another node, and back. */
FeedAnswer encodeFeed(const FollowResult &result);
FollowResult decodeFeed(const FeedAnswer &answer, const std::string &table);

} // namespace Dogwoodkeel
