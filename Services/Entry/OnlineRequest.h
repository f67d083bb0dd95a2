#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/ServerSentEvents.h>
#include <LibRouting/Quarantine.h>
#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/Attempt.h>
#include <Services/Entry/CallerReply.h>
#include <Services/Entry/Completion.h>
#include <Services/Entry/EntryContext.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** A request whose answer is stored: a completion, or a call of a plain service that has a request id. */
struct DurableRequest
{
    RequestId id;
    /** Whether the caller chose the id, so that an earlier request under the same id may have run. */
    bool isNamedByCaller = false;
    WorkspaceName tenant;
    /** Hash of the whole request. */
    std::uint64_t fingerprint = 0;
    /** Hash of the requested content, independent of the id. */
    ContentFingerprint content;
    bool isNonIdempotent = false;
    /** The message to the endpoint, without the body of a completion. */
    HttpRequest request;
    /** The model or plain service it is for. */
    std::string serves;
    std::chrono::milliseconds timeout{0};
    /** Set for a completion only. */
    std::optional<CompletionRequest> completion;
    /** Key of the prompt's first bytes, equal for requests that can share cached state; 0 for none. */
    std::uint64_t prefix = 0;
    /** Counts the request against its tenant's limits until its caller is answered. */
    LimitSharing::Hold hold;
};

/**
 * Runs one durable request: claims it at its owner, runs it at an endpoint, commits the result and answers the
 * caller.
 *
 * The run continues when the caller disconnects, and a resend gets its result. A stream's last event and a complete
 * answer are sent only when the owner has the result. An unused claim is released, so that a resend need not wait for
 * its lease to end.
 */
class OnlineRequest : public std::enable_shared_from_this<OnlineRequest>
{
public:
    OnlineRequest(EntryContext &context, DurableRequest request, std::shared_ptr<HttpReply> reply);

    void start();

private:
    enum class Phase {
        Claiming,
        /** Queued until a replica has capacity. */
        Waiting,
        Running,
        Committing,
        /** Refused; responses that still arrive are handled without the caller. */
        Ended,
    };

    void armDeadline(std::chrono::milliseconds wait);
    void claim();
    void onClaim(const std::optional<ClaimResponse> &response);
    void repeatUncertainClaim();
    void closeClaim(const Refusal &refusal);
    /**
     * Releases the claim at its owner, which withdraws a durable intent by a record. A claim may stand in the journal
     * as an intent even if its owner could not record it in time, or if the repeated claim met its own intent, and
     * the owner may be lost before it withdraws it. So the release is repeated when a node answers that it does not
     * own the shard: the next owner would find an intent whose runner lives, and resends would wait for that runner
     * until the claim's lease ends.
     */
    void release();

    void waitForCapacity();
    void dispatch();
    bool mayRetryAt(const Replica &selected);
    void sendTo(Replica &replica, ConnectionChoice choice);
    void onHeaders(int status, const HttpHeaders &headers);
    void onData(std::string_view data);
    void onEvent(const std::string &data);
    void onEnd(AttemptEnd end);
    void attemptCompleted();
    void attemptFailed(AttemptOutcome outcome, RunState run, std::string_view reason);
    void recordEndpointLoss();
    void leaveReplica(const AttemptResult &result);
    std::optional<std::chrono::microseconds> serviceTime() const;
    bool isComplete() const;

    void commit(const Answer &answer);
    void sendCommit();
    void onCommit(const std::optional<CommitResponse> &response);
    void finish(const Answer &answer, std::string_view result);

    void onDeadline();
    RunState runState() const;
    void refuse(const Refusal &refusal);
    std::string kind() const;

    EntryContext &context;
    DurableRequest request;
    CallerReply reply;
    SteadyTime started;
    SteadyTime deadline;
    /** Session number in the claim; the node may continue under another session meanwhile. */
    SessionNumber runner;
    std::uint64_t claimNumber;
    Phase phase = Phase::Claiming;
    bool hasClaim = false;
    TimerId deadlineTimer = 0;
    Admission::Ticket ticket = 0;

    std::uint32_t attempts = 0;
    std::vector<EndpointName> tried;
    FailureDomain failedDomain;
    /** Why the last attempt failed; counted as the reason of the next retry. */
    std::string lastFailure;
    Replica *replica = nullptr;
    SteadyTime sent{};
    std::unique_ptr<Attempt> attempt;
    SteadyTime lastToken{};
    SteadyTime attemptFirstToken{};
    /** Number of tokens received from earlier attempts. */
    std::uint32_t tokensBefore = 0;
    int status = 0;
    std::string contentType;
    std::string body;
    ServerSentEvents events;
    CompletionText completion;
    bool isStreamEnded = false;
    bool mayHaveRun = false;

    Answer result;
    std::chrono::milliseconds commitPause;
};

} // namespace Dogwoodkeel
