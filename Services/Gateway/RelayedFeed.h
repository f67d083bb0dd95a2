#pragma once

#include <LibBase/Scheduler.h>
#include <LibMembership/RelaySelector.h>
#include <LibPlatform/RowStore.h>
#include <Services/Gateway/ChunkExchange.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/TableRelay.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Reads and follows tables of the store through a relay of the failure domain. On a relay itself, they come from its own copy.
 * Falls back to the store where no relay answers, for example when all nodes start at once.
 */
class RelayedFeed final : public RowFeed
{
public:
    /**
     * @param own the tables that this node follows while it is a relay
     * @param relays selects the relay that gets the requests while this node is none
     * @param chunks through which large values are fetched
     */
    RelayedFeed(
        Scheduler &scheduler, RowFeed &store, PeerNetwork &peers, TableRelay &own, RelaySelector &relays, ChunkExchange &chunks);
    ~RelayedFeed() override;
    RelayedFeed(const RelayedFeed &) = delete;
    RelayedFeed &operator=(const RelayedFeed &) = delete;

    void read(RowRange range, FeedCallback<RowRangeResult> done) override;
    void
    follow(const std::string &table, RowVersion since, std::chrono::milliseconds wait, FeedCallback<FollowResult> done) override;

private:
    using RowsReceived = std::function<void(std::optional<std::vector<StoredRow>>)>;

    /** Rows of an answer whose large values are being fetched. */
    struct Reception
    {
        std::vector<StoredRow> rows;
        /** The outlines of the missing values, by the index of their rows. */
        std::map<std::size_t, TextOutline> missing;
        Member relay;
        RowsReceived done;
        std::function<void()> progressed;
    };

    const Member *relay();
    /**
     * Passes on the rows of an answer once their large values have been fetched, or nothing if a value can't be fetched.
     * @param rows the decoded rows of the answer, in its order
     */
    void receiveRows(const FeedAnswer &answer,
                     std::vector<StoredRow> rows,
                     const Member &relay,
                     RowsReceived done,
                     std::function<void()> progressed);
    void fetchNext(const std::shared_ptr<Reception> &reception);
    void receiveValue(const std::shared_ptr<Reception> &reception, std::size_t index, std::optional<std::string> value);
    /** Records whether a relay answered. @return whether the answer holds the requested rows */
    bool recordOutcome(const Member &relay, const std::string &table, const CallResult<FeedAnswer> &result);

    Scheduler &scheduler;
    RowFeed &store;
    PeerNetwork &peers;
    TableRelay &own;
    RelaySelector &relays;
    ChunkExchange &chunks;
    /** Consecutive calls to relays without a usable answer. */
    std::size_t failures = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
