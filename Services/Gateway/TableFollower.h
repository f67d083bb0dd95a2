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
        /** How long the store is asked to wait for a change. */
        std::chrono::milliseconds wait{1000};
        /** Shortest time between two calls, so that frequent changes come in groups. */
        std::chrono::milliseconds pace{0};
    };

    struct Hooks
    {
        /** The whole table, at the start and after a gap in the history. */
        std::function<void(const std::vector<StoredRow> &)> onAll;
        /** A row was put or removed. */
        std::function<void(const StoredRow &)> onChange;
        /** All rows of an answer have been told. */
        std::function<void()> onTold = [] {};
        /** The store answered. */
        std::function<void()> onAnswer = [] {};
        /** The store did not answer. */
        std::function<void()> onFailure = [] {};
    };

    TableFollower(Scheduler &scheduler, RowStore &store, std::uint64_t seed, Options options, Hooks hooks);
    ~TableFollower();
    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

private:
    void readAll();
    void takeAll(const std::vector<StoredRow> &rows, RowVersion version);
    void follow();
    void takeChanges(const FollowResult &result);
    void fail(std::function<void()> again);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);

    Scheduler &scheduler;
    RowStore &store;
    std::minstd_rand random;
    Options options;
    Hooks hooks;
    RowVersion since = 0;
    int failures = 0;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
