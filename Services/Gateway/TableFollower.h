#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/RowStore.h>

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Reads a table of the platform's store and follows its changes for as long as it lives. */
class TableFollower
{
public:
    struct Options
    {
        std::string table;
        /** @return how long the store is asked to wait for a change. */
        std::function<std::chrono::milliseconds()> wait;
        /** Shortest time between two calls, so that frequent changes come in groups. */
        std::chrono::milliseconds pace{0};
    };

    struct Hooks
    {
        /** The whole table, at the start and after a gap in the history. */
        std::function<void(const std::vector<StoredRow> &)> onSnapshot;
        /** A row was put or removed. */
        std::function<void(const StoredRow &)> onChange;
        /** All rows of an answer have been told. */
        std::function<void()> onDelivered = [] {};
        /** The store answered. */
        std::function<void()> onAnswer = [] {};
        /** The store did not answer. */
        std::function<void()> onFailure = [] {};
    };

    TableFollower(Scheduler &scheduler, RowFeed &store, std::uint64_t seed, Options options, Hooks hooks);
    ~TableFollower();
    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /** Ask the store anew, at once: what it was asked before may be waiting on a connection that is dead. */
    void refresh();

    /** Another node has told the whole table as it was at a version: what came since is followed, without reading it all. */
    void seed(RowVersion version);

    /** @return up to which version the changes have been told; 0: the table has not been read yet. */
    RowVersion version() const;

private:
    /** A whole reading, which may take several answers. */
    struct Reading
    {
        std::vector<StoredRow> rows;
        /** Of the first answer: what changed after it comes again. */
        RowVersion version = 0;
        /** Behind which key to go on. */
        std::string from;
    };

    void readAll();
    void readPart();
    void takePart(const RowRangeResult &part);
    void follow();
    void takeChanges(const FollowResult &result);
    void fail(std::function<void()> again);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);

    Scheduler &scheduler;
    RowFeed &store;
    std::minstd_rand random;
    Options options;
    Hooks hooks;
    RowVersion since = 0;
    Reading reading;
    /** Counts the questions to the store; only the answer to the last one counts. */
    std::uint64_t question = 0;
    /** Asks the last question again. */
    std::function<void()> current;
    int failures = 0;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
