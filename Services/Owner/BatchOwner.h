#pragma once

#include <LibJournal/JournalWriter.h>
#include <LibPlatform/ObjectStore.h>
#include <LibWire/PeerServer.h>
#include <Services/Owner/ItemReader.h>
#include <Services/Owner/ShardKeeper.h>

#include <memory>

namespace Dogwoodkeel
{

/** Answers for the batch jobs of the shards this node owns. What it tells others as done is in the journal by then. */
class BatchOwner
{
public:
    BatchOwner(ShardKeeper &keeper, JournalWriter &journal, ObjectStore &objects);

    /** Answer the calls of other nodes, and of this one. */
    void serve(PeerServer &server);

    /** @return batch items that wait at this node's shards. */
    std::size_t backlog() const;

private:
    template <typename Response>
    using Respond = PeerServer::Respond<Response>;

    void submit(const SubmitJobRequest &request, const Respond<SubmitJobResponse> &respond);
    void status(const JobStatusRequest &request, const Respond<JobStatusResponse> &respond);
    void cancel(const CancelJobRequest &request, const Respond<JobStatusResponse> &respond);
    void results(const JobResultsRequest &request, const Respond<JobResultsResponse> &respond);
    void pull(const PullItemsRequest &request, const Respond<PullItemsResponse> &respond);
    void commitItems(const CommitItemsRequest &request, const Respond<CommitItemsResponse> &respond);
    void renew(const RenewItemsRequest &request, const Respond<RenewItemsResponse> &respond);

    ShardState *stateOf(const JobId &id);
    const JobRecord *jobOf(ShardState *state, const JobId &id, const TenantName &tenant) const;

    template <typename Record>
    void append(ShardNumber shard, RecordKind kind, const Record &record, const JournalWriter::Appended &appended);

    ShardKeeper &keeper;
    JournalWriter &journal;
    ItemReader items;
};

} // namespace Dogwoodkeel
