#pragma once

#include <LibJournal/JournalWriter.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/Platform.h>
#include <LibSettings/SettingsHandle.h>
#include <LibWire/PeerServer.h>
#include <Services/Owner/BatchOwner.h>
#include <Services/Owner/ShardKeeper.h>

#include <functional>
#include <memory>

namespace Dogwoodkeel
{

/**
 * Answers for the requests and batch jobs of the shards this node owns. What it tells others as done is in the journal
 * by then.
 */
class OwnerService
{
public:
    /**
     * @param onFenced told once, when another session has sealed this one's journal: it can decide nothing any more
     * @param tellStopped see BatchOwner::TellStopped
     * @param onReleased told of the member that should own a shard which has just been given up
     */
    OwnerService(Scheduler &scheduler,
                 const Clock &clock,
                 Platform &platform,
                 const SettingsHandle &settings,
                 SessionNumber self,
                 std::function<void()> onFenced = {},
                 BatchOwner::TellStopped tellStopped = {},
                 std::function<void(const Member &)> onReleased = {});
    ~OwnerService();
    OwnerService(const OwnerService &) = delete;
    OwnerService &operator=(const OwnerService &) = delete;

    /** Answer the calls of other nodes, and of this one. */
    void serve(PeerServer &server);

    /** Start taking shards. */
    void start();

    void setView(const MemberViewPointer &view);

    /** Give everything up, as planned. @param stopped told when the last shard is released */
    void stop(std::function<void()> stopped);

    /** @return what waits of batch jobs at this node's shards. */
    Backlog backlog();

    /** @return requests of all shards that are in memory. */
    std::size_t resultsInMemory() const;

    /** @return shards owned now. */
    std::size_t shardCount() const;

    const JournalWriter &journalWriter() const;

    /** @return the part that answers for batch jobs. */
    BatchOwner &batches();

    template <typename Response>
    using Respond = PeerServer::Respond<Response>;

    /** Decide whether the asking node runs a request. */
    void claim(const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    /** Take a result: the first one counts. */
    void commit(const CommitRequest &request, const Respond<CommitResponse> &respond);
    /** Take a claim back whose request was proved not to have run. */
    void release(const ReleaseRequest &request, const Respond<ReleaseResponse> &respond);
    /** Tell where a request stands. */
    void result(const ResultRequest &request, const Respond<ResultResponse> &respond);

private:
    /** Gets the shard's state, or null if this node does not own it, and whether it is certain what the id's result is. */
    using LookedUp = std::function<void(ShardState *state, bool isCertain)>;

    /** Bring a result that was written long ago into memory, if there is one. */
    void lookUp(const RequestId &id, const LookedUp &then);
    void claimAt(ShardState &owned, const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    void commitAt(ShardState &owned, const CommitRequest &request, const Respond<CommitResponse> &respond);
    void confirmNoResult(const ResultRequest &request, const Respond<ResultResponse> &respond);
    /** @return whether as many results wait for the platform as this node may hold: nothing new is run then. */
    bool isFull() const;
    void join(const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    void writeIntent(const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    void onIntent(const ClaimRequest &request, const Respond<ClaimResponse> &respond, AppendOutcome outcome);
    void writeWithdrawal(ShardNumber shard, const RequestId &id);
    void writeResult(const CommitRequest &request, const Respond<CommitResponse> &respond);

    JournalWriter::Options journalOptions();
    ShardState *stateOf(const std::string &id);

    template <typename Record>
    void append(ShardNumber shard, RecordKind kind, const Record &record, const JournalWriter::Appended &appended);

    Scheduler &scheduler;
    const SettingsHandle &settings;
    std::function<void()> onFenced;
    JournalWriter journal;
    ShardKeeper keeper;
    BatchOwner batch;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
