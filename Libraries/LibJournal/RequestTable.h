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

/** What the owner of a shard decides about a claim, before anything is journalled. */
enum class ClaimVerdict {
    /** The asking node may run it at once. */
    Run,
    /** It may run it as soon as an intent record is durable. */
    RunAfterIntent,
    /** Another node runs it: wait for its result. */
    Join,
    /** Its result is durable. */
    Done,
    /** The id stands for another request. */
    Mismatch,
    /** Non-idempotent, and its runner was lost. */
    OutcomeUnknown,
};

/** What the owner of a shard decides about a result. */
enum class CommitVerdict {
    /** It is the first: journal it. */
    Journal,
    /** The first result is being journalled: wait for that. */
    Wait,
    /** Another result is durable. */
    Superseded,
};

/** What the owner of a shard decides about a claim that is given back. */
enum class ReleaseVerdict {
    /** The asker does not hold it. */
    Refused,
    /** It is free again, or will be when its intent's fate is known. */
    Released,
    /** It is free again when its withdrawal is durable: journal that. */
    Withdraw,
};

/** What the owner does when an intent has become durable. */
enum class IntentVerdict {
    /** Tell its claimer to run. */
    Run,
    /** Its claimer has been told not to run, or is gone unanswered: journal a withdrawal. */
    Withdraw,
    /** It is not waited for any more. */
    NotPending,
};

/**
 * The requests of one shard: who runs them, and their results. Decides; the owner task journals and answers.
 *
 * An idempotent claim is a lease in memory: if it is lost with its owner, two nodes may run the request, and the first
 * result to be journalled is the one that all callers get. A non-idempotent claim is an intent in the journal, and is
 * given out again only after a withdrawal in the journal, which needs proof that the request never left for an endpoint.
 */
class RequestTable
{
public:
    /**
     * @param clock measures the leases
     * @param lease how long a runner may keep a request
     * @param recentBytes results that are in a run and kept in memory all the same, at most
     */
    RequestTable(const Clock &clock, std::chrono::milliseconds lease, std::size_t recentBytes);

    ClaimVerdict claim(const ClaimRequest &request);

    /** The intent is durable. @return whether its claimer may run */
    IntentVerdict intentJournalled(const RequestId &id);

    /** The claimer of an intent that is not durable yet is told that it must not run. */
    void abandonIntent(const ClaimRequest &request);

    /** The withdrawal of an intent is durable: the request may be claimed again. */
    void withdrawn(const RequestId &id);

    CommitVerdict commit(const CommitRequest &request);

    /** The first result is durable: it is told to those who wait. */
    void resultJournalled(const RequestId &id);

    /** Give a claim back that was proved not to have run. */
    ReleaseVerdict release(const ReleaseRequest &request);

    /**
     * A session is gone, and what it ran with it: its idempotent claims are free again, its intents end as unknown. Claims
     * whose leases ended long ago are dropped too: their runners gave them up in a way that was never heard of.
     * @param isGone tells whether a session is
     */
    void dropRunners(const std::function<bool(SessionNumber)> &isGone);

    /** Forget everything and tell all who wait: this node does not own the shard any more. */
    void abandon();

    /** @return where a request stands. */
    RequestState state(const RequestId &id) const;

    /** @return the durable answer, or null. */
    const Answer *answer(const RequestId &id) const;

    /**
     * Wait for a request's result, or for its runner to give up.
     * @param reported called once: then claim() or answer() has news
     */
    void await(const RequestId &id, std::function<void()> reported);

    /** @return durable results that are in no run of the shard's index yet, sorted by id. */
    std::vector<ResultRecord> unindexed() const;

    /** @return bytes of the results that are in no run yet. */
    std::size_t unindexedBytes() const;

    /** These results are in a run now: only the youngest are kept in memory. */
    void indexed(const std::vector<ResultRecord> &results);

    /** A result was read from a run. */
    void restore(const ResultRecord &result);

    /** @return the records that bring back all durable state but the results: kind and encoded record. */
    std::vector<std::pair<RecordKind, std::string>> checkpointRecords() const;

    /** Take over what a journal says. */
    void replay(const IntentRecord &record);
    void replay(const WithdrawRecord &record);
    void replay(const ResultRecord &record);

    std::size_t size() const;

private:
    enum class Stage {
        Claimed,
        IntentPending,
        IntentDurable,
        /** The intent of a runner that is gone: it may have run, and nobody will tell. */
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
        /** Of the runner: tells a repeated call from another caller's resend at the same node. */
        std::uint64_t claim = 0;
        SteadyTime leaseEnd{};
        /** With IntentPending: its claimer will not run. */
        bool isAbandoned = false;
        /** Its intent is durable: a checkpoint has to hold it until there is a result. */
        bool hasIntent = false;
        /** With Done: whether it is in a run. */
        bool isIndexed = false;
        Answer answer;
        std::vector<std::function<void()>> waiting;
    };

    using Entries = std::unordered_map<RequestId, Entry>;

    template <typename Request>
    static bool isHolder(const Entry &entry, const Request &request);
    ClaimVerdict claimAgain(Entry &entry, const ClaimRequest &request);
    void hold(Entry &entry, const ClaimRequest &request);
    void remove(Entries::iterator entry);
    void finish(const RequestId &id, Entry &entry);
    void keepRecent(const RequestId &id, Entry &entry);
    static std::size_t sizeOf(const RequestId &id, const Entry &entry);
    void tellWaiting(Entry &entry);

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
