#pragma once

#include <LibBase/Scheduler.h>
#include <LibMembership/RelaySelector.h>
#include <LibPlatform/RowStore.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/TableRelay.h>

#include <functional>
#include <memory>
#include <string>

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
     */
    RelayedFeed(Scheduler &scheduler, RowFeed &store, PeerNetwork &peers, TableRelay &own, RelaySelector &relays);
    ~RelayedFeed() override;
    RelayedFeed(const RelayedFeed &) = delete;
    RelayedFeed &operator=(const RelayedFeed &) = delete;

    void read(RowRange range, std::function<void(RowRangeResult)> done) override;
    void follow(const std::string &table,
                RowVersion since,
                std::chrono::milliseconds wait,
                std::function<void(FollowResult)> done) override;

private:
    const Member *relay();
    /** Records whether a relay answered. @return whether the answer holds the requested rows */
    bool recordOutcome(const Member &relay, const std::string &table, const CallResult<FeedAnswer> &result);

    Scheduler &scheduler;
    RowFeed &store;
    PeerNetwork &peers;
    TableRelay &own;
    RelaySelector &relays;
    /** Consecutive calls to relays without a usable answer. */
    std::size_t failures = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
