#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/ServerSentEvents.h>
#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/Completion.h>
#include <Services/Entry/EntryContext.h>

#include <functional>
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
    TenantName tenant;
    /** Hash of all that was asked. */
    std::uint64_t fingerprint = 0;
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
};

/**
 * Runs one durable request: claim it at its owner, run it at an endpoint, commit the result, answer the caller.
 *
 * It goes on when the caller hangs up: the result is what a resend will get. A stream's last event and a whole answer
 * go out only when the owner has the result.
 */
class OnlineRequest : public std::enable_shared_from_this<OnlineRequest>
{
public:
    OnlineRequest(EntryContext &context, DurableRequest request, std::shared_ptr<HttpReply> reply);

    void start();

private:
    void claim();
    void onClaim(const std::optional<ClaimResponse> &response);
    void dispatch();
    void sendTo(Replica &replica);
    void onHeaders(int status, const HttpHeaders &headers);
    void onData(std::string_view data);
    void onEvent(const std::string &data);
    void onEnd(ExchangeEnd end);
    void attemptDone();
    void attemptFailed(AttemptOutcome outcome, RunState run, std::string_view reason);
    void leaveReplica(const AttemptResult &result);
    std::optional<std::chrono::microseconds> serviceTime() const;
    void armProgress();
    void onSilence();
    void commit(const Answer &answer);
    void onCommit(const Answer &own, const std::optional<CommitResponse> &response);
    void keepCommitting(const Answer &own);
    void finish(const Answer &answer, std::string_view result);
    void finishStream(const Answer &answer, std::string_view result);
    void refuse(const Refusal &refusal);
    void startStream();
    bool isStreaming() const;

    EntryContext &context;
    DurableRequest request;
    std::shared_ptr<HttpReply> reply;
    SteadyTime started;
    SteadyTime deadline;
    std::uint64_t claimNumber;

    std::uint32_t attempts = 0;
    std::vector<EndpointName> tried;
    FailureDomain failedDomain;
    Replica *replica = nullptr;
    HttpClient::ExchangeId exchange = 0;
    TimerId progressTimer = 0;
    SteadyTime lastProgress{};
    SteadyTime attemptStarted{};
    SteadyTime attemptFirstToken{};
    std::uint32_t tokensBefore = 0;
    int status = 0;
    std::string contentType;
    std::string body;
    ServerSentEvents events;
    CompletionText completion;
    bool sawEnd = false;
    bool mayHaveRun = false;
};

} // namespace Dogwoodkeel
