#pragma once

#include <LibPlatform/RowStore.h>
#include <LibPlatform/StoreClock.h>
#include <Services/Gateway/PeerNetwork.h>

#include <memory>
#include <optional>
#include <random>

namespace Dogwoodkeel
{

/**
 * The platform's store, reached through another node while it turns this one away or does not answer it. Without that, the
 * results of jobs that run here would be held until the store takes this node back, and be late, and calls on jobs would be
 * refused here though the store serves all other nodes.
 */
class RelayedStore final : public RowStore
{
public:
    /** @param direct the store as this node reaches it by itself; calls for other nodes are made there too */
    RelayedStore(RowStore &direct, PeerNetwork &peers, StoreClock &storeClock, std::uint64_t seed);
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
    std::optional<Address> relay();
    bool hasLostStore() const;
    void noteTime(StoreTime told);
    void transactThrough(const Address &peer, const RowTransaction &transaction, std::function<void(RowTransactionResult)> done);
    void readThrough(const Address &peer, const RowRange &range, std::function<void(RowRangeResult)> done);

    RowStore &direct;
    PeerNetwork &peers;
    StoreClock &storeClock;
    std::minstd_rand random;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
