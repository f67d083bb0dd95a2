#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Decision of a shard's owner about a claim, before anything is journalled. */
enum class ClaimVerdict {
    /** The claiming node may run the request at once. */
    Run,
    /** The claiming node may run the request as soon as an intent record is durable. */
    RunAfterIntent,
    /** Another claim runs the request: wait for its result. */
    Join,
    /** The request's result is durable. */
    Done,
    /** The id belongs to a request with another fingerprint. */
    Mismatch,
    /** The request is non-idempotent and may have run, but its runner was lost or its lease expired. */
    OutcomeUnknown,
};

/** Decision of a shard's owner about a result. */
enum class CommitVerdict {
    /** This is the first result: journal it. */
    Journal,
    /** The first result is being journalled: wait until it is durable. */
    Wait,
    /** Another result is durable. */
    Superseded,
};

/** Decision of a shard's owner about the release of a claim. */
enum class ReleaseVerdict {
    /** The caller does not hold the claim, or it can no longer be released. */
    Refused,
    /** The request may be claimed again, at the latest when its pending intent has been withdrawn. */
    Released,
    /** The request may be claimed again once its withdrawal is durable: journal the withdrawal. */
    Withdraw,
};

/** Decision of a shard's owner when an intent has become durable. */
enum class IntentVerdict {
    /** Allow the claimer to run the request. */
    Run,
    /** The claimer was refused, released the claim or ended without a response: journal a withdrawal. */
    Withdraw,
    /** No claim waits for this intent any more. */
    NotPending,
};

/**
 * Tracks the requests of one shard, their runners and their results. The table only makes decisions; the owner task
 * journals records and sends responses.
 *
 * An idempotent claim is a lease in memory. If it is lost with its owner, two nodes may run the request, and all callers
 * get the first result that is journalled. A non-idempotent claim is an intent in the journal. It is granted again only
 * after a journalled withdrawal, which requires proof that the request was never sent to an endpoint.
 */
class RequestTable
{
public:
    /**
     * @param clock clock that measures the leases
     * @param lease duration of a runner's claim
     * @param recentBytes max size of the results that are in a run and still kept in memory
     */
    RequestTable(const Clock &clock, std::chrono::milliseconds lease, std::size_t recentBytes);

    ClaimVerdict claim(const ClaimRequest &request);

    /** Records that an intent is durable. @return whether its claimer may run the request */
    IntentVerdict intentJournalled(const RequestId &id);

    /** Abandons an intent that is not durable yet, because its claimer was refused permission to run. */
    void abandonIntent(const ClaimRequest &request);

    /** Records that the withdrawal of an intent is durable: the request may be claimed again. */
    void withdrawn(const RequestId &id);

    CommitVerdict commit(const CommitRequest &request);

    /** Records that the first result is durable, and notifies the waiting callers. */
    void resultJournalled(const RequestId &id);

    /** Releases a claim whose request is proved not to have run. */
    ReleaseVerdict release(const ReleaseRequest &request);

    /**
     * Drops the claims of ended sessions: idempotent requests may be claimed again, durable intents get an unknown outcome.
     * Also drops idempotent claims whose lease expired at least one lease duration ago, because the runner's release may
     * have been lost.
     * @param hasEnded returns whether a session has ended
     */
    void dropRunners(const std::function<bool(SessionNumber)> &hasEnded);

    /** Clears the table and notifies all waiting callers, because this node no longer owns the shard. */
    void abandon();

    /** @return the state of a request. */
    RequestState state(const RequestId &id) const;

    /** @return the durable answer, or null if there is none. */
    const Answer *answer(const RequestId &id) const;

    /**
     * Waits for a request's result or for a change of its claim.
     * @param reported called once, when claim() or answer() may return something new
     */
    void await(const RequestId &id, std::function<void()> reported);

    /** @return durable results that are not yet in a run of the shard's index, sorted by id. */
    std::vector<ResultRecord> unindexed() const;

    /** @return size in bytes of the results that are not yet in a run. */
    std::size_t unindexedBytes() const;

    /** Records that these results are now in a run; only the most recent of them stay in memory. */
    void indexed(const std::vector<ResultRecord> &results);

    /** Adds a result that was read from a run. */
    void restore(const ResultRecord &result);

    /** @return the records that restore all durable state except the results: kind and encoded record. */
    std::vector<std::pair<RecordKind, std::string>> checkpointRecords() const;

    /** Applies a record read from a journal. */
    void replay(const IntentRecord &record);
    void replay(const WithdrawRecord &record);
    void replay(const ResultRecord &record);

    std::size_t size() const;

private:
    enum class Stage {
        Claimed,
        IntentPending,
        IntentDurable,
        /** The intent's runner has ended: the request may have run, and its outcome will not be reported. */
        IntentOrphaned,
        WithdrawPending,
        ResultPending,
        Done,
    };

    struct Entry
    {
        Stage stage = Stage::Claimed;
        std::uint64_t fingerprint = 0;
        SessionNumber runner;
        /** Claim number of the runner; distinguishes a repeated call from another caller's resend at the same node. */
        std::uint64_t claim = 0;
        SteadyTime leaseEnd{};
        /** With IntentPending: the claimer will not run the request. */
        bool isAbandoned = false;
        /** The intent is durable: checkpoints must include it until there is a result. */
        bool hasIntent = false;
        /** With Done: whether the result is in a run. */
        bool isIndexed = false;
        Answer answer;
        std::vector<std::function<void()>> waiting;
    };

    using Entries = std::unordered_map<RequestId, Entry>;

    template <typename Request>
    static bool isHolder(const Entry &entry, const Request &request);
    ClaimVerdict claimExisting(Entry &entry, const ClaimRequest &request);
    void assignRunner(Entry &entry, const ClaimRequest &request);
    void remove(Entries::iterator entry);
    void finish(const RequestId &id, Entry &entry);
    void keepRecent(const RequestId &id, Entry &entry);
    static std::size_t sizeOf(const RequestId &id, const Entry &entry);
    void notifyWaiting(Entry &entry);

    const Clock &clock;
    std::chrono::milliseconds lease;
    std::size_t recentBytes;
    Entries entries;
    std::vector<RequestId> notIndexed;
    std::size_t notIndexedBytes = 0;
    /** Results in memory that are in a run, oldest first. */
    std::deque<RequestId> recent;
    std::size_t bytesOfRecent = 0;
};

} // namespace Dogwoodkeel
