#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <functional>
#include <unordered_map>
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

/**
 * The requests of one shard: who runs them, and their results. Decides; the owner task journals and answers.
 *
 * An idempotent claim is a lease in memory: if it is lost with its owner, two nodes may run the request, and the first
 * result to be journalled is the one that all callers get. A non-idempotent claim is an intent in the journal, and is
 * never given out again.
 */
class RequestTable
{
public:
    /**
     * @param clock measures the leases
     * @param lease how long a runner may keep an idempotent request
     */
    RequestTable(const Clock &clock, std::chrono::milliseconds lease);

    ClaimVerdict claim(const ClaimRequest &request);

    /** The intent is durable, or its journalling failed. */
    void intentJournalled(const RequestId &id, bool isDurable);

    CommitVerdict commit(const CommitRequest &request);

    /** The first result is durable: it is told to those who wait. */
    void resultJournalled(const RequestId &id);

    /** Give a claim back that was proved not to have run. @return whether the runner had it */
    bool release(const ReleaseRequest &request);

    /** @return where a request stands. */
    RequestState state(const RequestId &id) const;

    /** @return the durable answer, or null. */
    const Answer *answer(const RequestId &id) const;

    /**
     * Wait for a request's result, or for its runner to give up.
     * @param told called once: then claim() or answer() has news
     */
    void await(const RequestId &id, std::function<void()> told);

    /** Take over what a journal says. */
    void replay(const IntentRecord &record);
    void replay(const ResultRecord &record);

    std::size_t size() const;

private:
    enum class Stage {
        Claimed,
        IntentPending,
        IntentDurable,
        /** An intent that was replayed: its runner was lost with the former owner's memory of it. */
        IntentOrphaned,
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
        Answer answer;
        std::vector<std::function<void()>> waiting;
    };

    static bool isHolder(const Entry &entry, const ClaimRequest &request);
    void tellWaiting(Entry &entry);

    const Clock &clock;
    std::chrono::milliseconds lease;
    std::unordered_map<RequestId, Entry> entries;
};

} // namespace Dogwoodkeel
