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
 * Serves the requests and batch jobs of the shards that this node owns. A decision is durable in the journal before it is
 * reported to another node as done.
 */
class OwnerService
{
public:
    /**
     * @param onFenced called once, when another session has sealed the journal of this one, which can decide nothing any more
     * @param notifyStopped see BatchOwner::NotifyStopped
     * @param onReleased called with the member that should own a shard that has just been released
     */
    OwnerService(Scheduler &scheduler,
                 const Clock &clock,
                 Platform &platform,
                 const SettingsHandle &settings,
                 SessionNumber self,
                 std::function<void()> onFenced = {},
                 BatchOwner::NotifyStopped notifyStopped = {},
                 std::function<void(const Member &)> onReleased = {});
    ~OwnerService();
    OwnerService(const OwnerService &) = delete;
    OwnerService &operator=(const OwnerService &) = delete;

    /** Registers the handlers for calls from other nodes and from this one. */
    void serve(PeerServer &server);

    /** Starts acquiring shards. */
    void start();

    void setView(const MemberViewPointer &view);

    /** Releases all shards for a planned stop. @param stopped called when the last shard is released */
    void stop(std::function<void()> stopped);

    /** @return a summary of the batch items that wait in the shards of this node. */
    Backlog backlog();

    /** @return the number of requests of all shards that are in memory. */
    std::size_t resultsInMemory() const;

    /** @return the number of shards owned now. */
    std::size_t shardCount() const;

    const JournalWriter &journalWriter() const;

    /** @return the component that serves batch jobs. */
    BatchOwner &batches();

    template <typename Response>
    using Respond = PeerServer::Respond<Response>;

    /** Decides whether the calling node runs a request. */
    void claim(const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    /** Accepts a result. The first one counts. */
    void commit(const CommitRequest &request, const Respond<CommitResponse> &respond);
    /** Releases a claim whose request has provably not run. */
    void release(const ReleaseRequest &request, const Respond<ReleaseResponse> &respond);
    /** Reports the state of a request, and its result if there is one. */
    void result(const ResultRequest &request, const Respond<ResultResponse> &respond);

private:
    /** Receives the shard state, or null if the shard is not owned, and whether it is certain if the id has a result. */
    using LookedUp = std::function<void(ShardState *state, bool isCertain)>;

    /** Loads the result of a request from the index into memory, if there is one. */
    void lookUp(const RequestId &id, const LookedUp &then);
    void claimAt(ShardState &owned, const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    void commitAt(ShardState &owned, const CommitRequest &request, const Respond<CommitResponse> &respond);
    void confirmNoResult(const ResultRequest &request, const Respond<ResultResponse> &respond);
    /** @return whether the max number of results wait for the platform. No new request is run then. */
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
