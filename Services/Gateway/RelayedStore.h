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
 * The platform's store, reached through another node while it turns this one away or does not answer it. Without that, the
 * results of jobs that run here would be held until the store takes this node back, and be late, and calls on jobs would be
 * refused here though the store serves all other nodes.
 *
 * A cut without an error shows only by silence, and a caller that submits a job waits less than a call's timeout. So another
 * way is tried beside one that has not answered for a while. That is safe for reads, and for transactions that expect something
 * of each row they write: whichever is done first makes the others' expectations false, also if they arrive seconds later.
 */
class RelayedStore final : public RowStore
{
public:
    /** @param direct the store as this node reaches it by itself; calls for other nodes are made there too */
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
    void read(RowRange range, std::function<void(RowRangeResult)> done) override;
    void follow(const std::string &table,
                RowVersion since,
                std::chrono::milliseconds wait,
                std::function<void(FollowResult)> done) override;
    void listParts(const std::string &table, const std::string &after, std::function<void(RowPartsResult)> done) override;
    void putObject(const std::string &name, std::string content, std::function<void(WriteOutcome)> done) override;
    void readObject(const std::string &name, std::function<void(ReadOutcome, std::string)> done) override;
    void removeObject(const std::string &name, std::function<void(WriteOutcome)> done) override;

private:
    /** A way to the store: nothing: this node's own. */
    using Route = std::optional<Address>;

    std::vector<Route> routes();
    std::vector<Address> relays();
    bool hasLostStore() const;
    std::chrono::milliseconds hedgeDelay() const;
    void noteTime(StoreTime reported);
    void noteAnswer(const Route &route, SteadyTime asked);
    /** @param attempt makes the call by a route, and hands on its result */
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
    /** How long the store takes to answer this node, smoothed. */
    std::chrono::duration<double, std::milli> usualAnswer{0};
    /** Until then the store is reached through the peer that answered when the direct way did not. */
    SteadyTime directSuspectedUntil{};
    std::optional<Address> goodRelay;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
