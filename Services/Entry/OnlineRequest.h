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

/** A request whose answer is kept: a completion, or a call of a plain service that has an id. */
struct DurableRequest
{
    RequestId id;
    /** Whether the caller chose the id, so that an earlier sending of it may have run. */
    bool isNamedByCaller = false;
    WorkspaceName tenant;
    /** Hash of all that was asked. */
    std::uint64_t fingerprint = 0;
    /** Hash of what it asks for, whatever its id. */
    ContentFingerprint content;
    bool isNonIdempotent = false;
    /** What is sent to the endpoint, but for a completion's body. */
    HttpRequest request;
    /** The model or plain service it is for. */
    std::string serves;
    std::chrono::milliseconds timeout{0};
    /** For a completion. */
    std::optional<CompletionRequest> completion;
    /** Key of the prompt's first bytes, shared by requests that may profit from one cache; 0 for none. */
    std::uint64_t prefix = 0;
    /** Counts it against its tenant's limits until its caller is answered. */
    LimitSharing::Hold hold;
};

/**
 * Runs one durable request: claim it at its owner, run it at an endpoint, commit the result, answer the caller.
 *
 * It goes on when the caller hangs up: the result is what a resend will get. A stream's last event and a whole answer
 * go out only when the owner has the result. A claim that is not used is given back, so that a resend need not wait for
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
        /** In the queue for room at a replica. */
        Waiting,
        Running,
        Committing,
        /** Refused; what still arrives is settled without the caller. */
        Ended,
    };

    void armDeadline(std::chrono::milliseconds wait);
    void claim();
    void onClaim(const std::optional<ClaimResponse> &response);
    void settleClaim();
    void giveBack(const Refusal &refusal);
    /**
     * Have the owner take the claim back; it withdraws a durable intent by a record. Even a claim that it could not record
     * in time, or that met its own intent when it was asked again, may stand in the journal as an intent, and the owner may be
     * lost before it withdraws it. So a node that does not own the shard, or not yet, is no end of it: the next owner would find
     * an intent whose runner lives, and resends would wait for that runner until the claim's lease ends.
     */
    void release();

    void waitForRoom();
    void dispatch();
    bool mayRetryAt(const Replica &chosen);
    void sendTo(Replica &replica, ConnectionChoice choice);
    void onHeaders(int status, const HttpHeaders &headers);
    void onData(std::string_view data);
    void onEvent(const std::string &data);
    void onEnd(AttemptEnd end);
    void attemptDone();
    void attemptFailed(AttemptOutcome outcome, RunState run, std::string_view reason);
    void lostWithEndpoint();
    void leaveReplica(const AttemptResult &result);
    std::optional<std::chrono::microseconds> serviceTime() const;
    bool isWhole() const;

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
    /** Of the claim: the node may go on as another session meanwhile. */
    SessionNumber runner;
    std::uint64_t claimNumber;
    Phase phase = Phase::Claiming;
    bool hasClaim = false;
    TimerId deadlineTimer = 0;
    Admission::Ticket ticket = 0;

    std::uint32_t attempts = 0;
    std::vector<EndpointName> tried;
    FailureDomain failedDomain;
    /** Why the last attempt failed: the reason of the next one. */
    std::string lastFailure;
    Replica *replica = nullptr;
    SteadyTime sent{};
    std::unique_ptr<Attempt> attempt;
    SteadyTime lastToken{};
    SteadyTime attemptFirstToken{};
    /** Tokens that came from earlier attempts. */
    std::uint32_t tokensBefore = 0;
    int status = 0;
    std::string contentType;
    std::string body;
    ServerSentEvents events;
    CompletionText completion;
    bool sawEnd = false;
    bool mayHaveRun = false;

    Answer result;
    std::chrono::milliseconds commitPause;
};

} // namespace Dogwoodkeel
