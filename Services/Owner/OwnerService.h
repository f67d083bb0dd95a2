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
    OwnerService(
        Scheduler &scheduler, const Clock &clock, Platform &platform, const SettingsHandle &settings, SessionNumber self);
    ~OwnerService();
    OwnerService(const OwnerService &) = delete;
    OwnerService &operator=(const OwnerService &) = delete;

    /** Answer the calls of other nodes, and of this one. */
    void serve(PeerServer &server);

    /** Start taking shards. */
    void start();

    void setView(MemberViewPointer view);

    /** Give everything up, as planned. @param stopped told when the last shard is released */
    void stop(std::function<void()> stopped);

    /** @return batch items that wait at this node's shards. */
    std::size_t backlog() const;

    /** @return shards owned now. */
    std::size_t shardCount() const;

    const JournalWriter &journalWriter() const;

private:
    template <typename Response>
    using Respond = PeerServer::Respond<Response>;

    void claim(const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    void join(const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    void writeIntent(const ClaimRequest &request, const Respond<ClaimResponse> &respond);
    void commit(const CommitRequest &request, const Respond<CommitResponse> &respond);
    void writeResult(const CommitRequest &request, const Respond<CommitResponse> &respond);
    void release(const ReleaseRequest &request, const Respond<ReleaseResponse> &respond);
    void result(const ResultRequest &request, const Respond<ResultResponse> &respond);

    ShardState *stateOf(const std::string &id);

    template <typename Record>
    void append(ShardNumber shard, RecordKind kind, const Record &record, const JournalWriter::Appended &appended);

    Scheduler &scheduler;
    const SettingsHandle &settings;
    JournalWriter journal;
    ShardKeeper keeper;
    BatchOwner batch;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
