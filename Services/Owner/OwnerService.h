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
     * @param onReleased told of the member that should own a shard which has just been given up
     */
    OwnerService(Scheduler &scheduler,
                 const Clock &clock,
                 Platform &platform,
                 const SettingsHandle &settings,
                 SessionNumber self,
                 std::function<void()> onFenced = {},
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

    /** @return batch items that wait at this node's shards. */
    std::size_t backlog() const;

    /** @return shards owned now. */
    std::size_t shardCount() const;

    const JournalWriter &journalWriter() const;

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
