#pragma once

#include <LibGateway/CallerAccess.h>
#include <LibGateway/EventSplitter.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibProxy/CallerExchange.h>
#include <Services/Gateway/GatewayContext.h>
#include <Services/Gateway/ReplicaCall.h>
#include <platform/RequestFormat.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * One request of a caller, from its arrival to the end of its answer.
 *
 * It is sent to one replica at a time. What is proved not to have run goes to another replica; what may have run is
 * repeated only if it is idempotent, or a stream that may be resumed, and then the caller sees one stream without a seam.
 * Every other loss is told as a failure that promises nothing; a refusal is only given for what never ran.
 */
class OnlineCall final : public ReplicaAnswerHandler, public std::enable_shared_from_this<OnlineCall>
{
public:
    /** @param access by the configuration; with a route */
    OnlineCall(GatewayContext &context,
               ServingConfigurationPointer configuration,
               const Access &access,
               std::shared_ptr<CallerExchange> exchange);

    void start();

private:
    enum class Stage {
        /** Where its stream began is asked for. */
        Locating,
        /** Its workspace's quota is asked for. */
        Counting,
        Placing,
        /** Whether its last replica crashed is judged: it may have been one too many. */
        Judging,
        Sending,
        /** The replica's answer has begun. */
        Receiving,
        Over,
    };

    bool isStream() const;
    bool mayRepeat() const;
    std::chrono::milliseconds longestIdle() const;
    std::optional<WorkspaceName> sender() const;
    void askForOrigin();
    void takeOrigin(const std::optional<StreamOrigin> &origin);
    void noteOrigin();
    void askForQuota();
    void takeQuota(const QuotaDecision &decision);
    void awaitReplicas();
    void askForPlace();
    void takePlacement(const Placement &placement);
    void takeRefusal(std::chrono::milliseconds retryAfter);
    /** @return why it must not be sent: replicas crash under it, or under a part of its prompt. */
    std::optional<std::string_view> crashReason() const;
    /** End it if it must not be sent. @return whether it was ended */
    bool endIfCrashing();
    /** Be asked again when more is known of crashes. */
    void beginToWait(Stage stage);
    void recheck();
    void stopWaiting();
    void noteBreak();
    void notePromptServed();
    void send(const ServingReplica &replica);
    void handleHead(const MessageHead &head) override;
    void handleBody(std::string_view data) override;
    void takeEvents(std::string_view data);
    void handleEnd(CallEnd end) override;
    void completeWhole();
    bool isEmptyUnframed() const;
    void completeStream();
    void recover(PlacementVerdict verdict, std::string_view reason);
    void retryUnrun(PlacementVerdict verdict, std::string_view reason);
    void leaveReplica(PlacementVerdict verdict);
    void armSilence();
    void onSilence();
    void onDeadline();
    void onGone();
    void refuse(int status, std::chrono::milliseconds retryAfter, std::string_view reason);
    void fail(std::string_view reason);
    void finish(int status, std::string_view reason);
    SteadyTime now() const;

    GatewayContext &context;
    ServingConfigurationPointer configuration;
    /** Kept by the configuration. */
    const Route &route;
    /** Whose request it is, kept by the configuration; null if nobody's. */
    const Workspace *workspace;
    std::shared_ptr<CallerExchange> exchange;
    RequestTraits traits;
    std::uint64_t fingerprint = 0;
    ServiceName service;
    SteadyTime arrived;
    SteadyTime deadline;
    Stage stage = Stage::Counting;
    /** Replicas that may have run it. */
    std::uint32_t attempts = 0;
    std::uint32_t unrunAttempts = 0;
    std::vector<EndpointName> avoided;
    /** Until its quota is decided. */
    QuotaAsker::Ticket quotaTicket = 0;
    PlacementClient::Ticket ticket = 0;
    /** While it waits for a place. */
    WaitingRequests::Ticket waiting = 0;
    SteadyTime asked{};
    /** Whether this node chose the last replica by its own counts. */
    bool isOwnChoice = false;
    /** How old the list of replicas was at that choice. */
    std::chrono::milliseconds listAge{0};
    SteadyTime sent{};
    std::optional<ServingReplica> replica;
    /** Of the replica that it was sent to last. */
    SoftwareVersion version;
    /** Of the replica that began the stream, once the caller has an event of it; empty before. */
    SoftwareVersion begunVersion;
    /** See PlacementTraits. */
    std::chrono::milliseconds soleVersionFor{0};
    /** Until it is known where the stream began. */
    StreamOriginExchange::Ticket originTicket = 0;
    OutboundPool::CallId call = 0;
    MessageHead answer;
    std::string body;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t eventsPassed = 0;
    /** Those of them that came before it was sent last. */
    std::uint32_t eventsBefore = 0;
    /** Whether it was noted that a replica has served its prompt. */
    bool isPromptServed = false;
    TimerId deadlineTimer = 0;
    TimerId listTimer = 0;
    TimerId silenceTimer = 0;
};

} // namespace Dogwoodkeel
