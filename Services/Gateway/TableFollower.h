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

/**
 * Reads a table of the platform's store and then follows its changes until it is destroyed. After a gap in the history it reads
 * the whole table again, so that no change is missed. The known version never decreases.
 *
 * A request that is not answered in time is sent again while it is still pending, and the first answer counts: a connection that
 * died in an outage would otherwise delay all changes until long after the store's return. A request whose answer is arriving is
 * not sent again, as a second large answer would delay both.
 */
class TableFollower
{
public:
    struct Options
    {
        std::string table;
        /** @return how long the store may wait for a change before it answers. */
        std::function<std::chrono::milliseconds()> wait;
        /** Minimum time between an answer with changes and the next call, so that frequent changes are grouped. */
        std::chrono::milliseconds minInterval{0};
    };

    struct Hooks
    {
        /** Called with the whole table, at the start and after a gap in the history. */
        std::function<void(const std::vector<StoredRow> &)> onSnapshot;
        /** Called for each row that was put or removed. */
        std::function<void(const StoredRow &)> onChange;
        /** Called after all rows of an answer were passed to the hooks above. */
        std::function<void()> onDelivered = [] {};
        /** Called when the store has answered. */
        std::function<void()> onAnswer = [] {};
        /** Called when the store has not answered. */
        std::function<void()> onFailure = [] {};
    };

    TableFollower(Scheduler &scheduler, RowFeed &store, std::uint64_t seed, Options options, Hooks hooks);
    ~TableFollower();
    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /** Repeats the pending request without delay: it may be waiting on a dead connection. */
    void refresh();

    /** Follows the changes since a version at which another node sent the whole table, without reading the table. Changes up to
     * that version are not delivered any more. Does nothing if a version that is as new is known already. */
    void followFrom(RowVersion version);

    /** @return the version up to which changes were delivered; 0: the table has not been read yet. */
    RowVersion version() const;

private:
    /** A read of the whole table, which may take several pages. */
    struct TableRead
    {
        std::vector<StoredRow> rows;
        /** The version of the first page; changes are followed from there, including those that later pages show already. */
        RowVersion version = 0;
        /** The key at which the next page begins. */
        std::string from;
    };

    void readAll();
    /** Sends one call to the store. @return the time within which it has to be answered */
    using SendCall = std::function<std::chrono::milliseconds()>;

    /** Replaces the current request. */
    void request(SendCall send);
    /** Sends the current request, and again whenever it is not answered in time. */
    void sendRequest();
    void watchRequest(std::chrono::milliseconds timeout);
    /** @return a hook that records that a part of the answer to a call has arrived. */
    std::function<void()> progressHook(std::uint64_t number);
    /** @return for how long a call that follows the table may wait for a change. */
    std::chrono::milliseconds wait() const;
    /** @return whether an answer belongs to the current request. */
    bool isCurrent(std::uint64_t number) const;
    /** Records that the current request was answered; later answers to it are ignored. */
    void recordAnswer();
    void recordFailure();
    void readPage();
    void applyPage(const RowRangeResult &page);
    void follow();
    void applyChanges(const FollowResult &result);
    void retryLater(std::function<void()> request);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);

    Scheduler &scheduler;
    RowFeed &store;
    std::minstd_rand random;
    Options options;
    Hooks hooks;
    RowVersion knownVersion = 0;
    TableRead tableRead;
    /** The number of the latest call to the store. */
    std::uint64_t callNumber = 0;
    /** The number of the first call of the current request; answers to earlier ones are ignored. */
    std::uint64_t firstCall = 1;
    SendCall sendCall;
    /** Whether a part of an answer to the current request has arrived since its timeout began. */
    bool hasProgress = false;
    int failures = 0;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
