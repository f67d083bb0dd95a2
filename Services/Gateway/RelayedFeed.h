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
 * Tables of the store as a relay of the failure domain follows them. A relay itself takes them from what it follows. Where no
 * relay answers, as at a common start, the store is asked.
 */
class RelayedFeed final : public RowFeed
{
public:
    /**
     * @param own what this node follows while it is a relay
     * @param relays whom to ask while it is none
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
    /** What an answer of a relay tells of it. @return whether it told what was asked */
    bool judge(SessionNumber relay, const CallResult<FeedAnswer> &result);

    Scheduler &scheduler;
    RowFeed &store;
    PeerNetwork &peers;
    TableRelay &own;
    RelaySelector &relays;
    /** Calls to relays that told nothing, one after the other. */
    std::size_t failures = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
