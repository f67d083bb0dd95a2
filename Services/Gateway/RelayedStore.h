#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibPlatform/HedgedCall.h>
#include <LibPlatform/RowStore.h>
#include <LibPlatform/StoreClock.h>
#include <Services/Gateway/PeerNetwork.h>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Access to the platform's store, through another node while the store refuses this one or does not answer it. Without it, the
 * results of jobs that run here would be delayed until the store accepts this node again, and calls on jobs would be refused here
 * although the store serves all other nodes.
 *
 * A lost connection may show only by a missing answer, and a caller that submits a job waits less than the timeout of a call.
 * Calls are therefore hedged: if a route has not answered after a delay, another is tried in parallel. That is safe for reads,
 * and for transactions with an expectation for each row they write: the first one to be committed makes the expectations of the
 * others false, even if these arrive seconds later.
 */
class RelayedStore final : public RowStore
{
public:
    /** @param direct this node's own access to the store, also used for calls on behalf of other nodes */
    RelayedStore(Scheduler &scheduler,
                 const Clock &clock,
                 RowStore &direct,
                 PeerNetwork &peers,
                 StoreClock &storeClock,
                 std::uint64_t seed);
    ~RelayedStore() override;
    RelayedStore(const RelayedStore &) = delete;
    RelayedStore &operator=(const RelayedStore &) = delete;

    void transact(RowTransaction transaction, std::function<void(RowTransactionResult)> done) override;
    void read(RowRange range, FeedCallback<RowRangeResult> done) override;
    void
    follow(const std::string &table, RowVersion since, std::chrono::milliseconds wait, FeedCallback<FollowResult> done) override;
    void listParts(const std::string &table, const std::string &after, std::function<void(RowPartsResult)> done) override;
    void putObject(const std::string &name, std::string content, std::function<void(WriteOutcome)> done) override;
    void readObject(const std::string &name, std::function<void(ReadOutcome, std::string)> done) override;
    void removeObject(const std::string &name, std::function<void(WriteOutcome)> done) override;

private:
    /** A route to the store: the node that relays the call, or nothing for this node's own access. */
    using Route = std::optional<Address>;

    std::vector<Route> routes();
    std::vector<Address> relays();
    bool hasLostStore() const;
    std::chrono::milliseconds hedgeDelay() const;
    void recordStoreTime(StoreTime reported);
    void recordAnswer(const Route &route, SteadyTime started);
    /** @param attempt makes the call by a route, and passes its result to a callback */
    template <typename Result, typename Attempt>
    void hedge(const Attempt &attempt, typename HedgedCall<Result>::Policy policy, typename HedgedCall<Result>::Done done);
    void transactThrough(const Address &peer, const RowTransaction &transaction, std::function<void(RowTransactionResult)> done);
    void readThrough(const Address &peer, const RowRange &range, std::function<void(RowRangeResult)> done);

    Scheduler &scheduler;
    const Clock &clock;
    RowStore &direct;
    PeerNetwork &peers;
    StoreClock &storeClock;
    std::minstd_rand random;
    /** Moving average of the time in which the store answers this node directly. */
    std::chrono::duration<double, std::milli> averageLatency{0};
    /** Until then, calls go first through the peer that answered when the direct route did not. */
    SteadyTime directSuspectedUntil{};
    std::optional<Address> preferredRelay;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
