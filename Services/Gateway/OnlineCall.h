#pragma once

#include <LibDispatch/RunMeasurement.h>
#include <LibGateway/AnswerBudget.h>
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
 * Serves one online request of a caller, from its arrival to the end of its answer.
 *
 * The request is sent to one replica at a time. If it provably did not run, it goes to another replica. If it may have run, it is
 * repeated only if it is idempotent or a resumable stream; the caller then receives a single stream, without missing or repeated
 * events. Any other loss is answered as a failure that leaves open whether the request ran. A request is refused only if it never
 * ran.
 */
class OnlineCall final : public ReplicaAnswerHandler, public std::enable_shared_from_this<OnlineCall>
{
public:
    /** @param access what the configuration grants the request; it has a route */
    OnlineCall(GatewayContext &context,
               ServingConfigurationPointer configuration,
               const Access &access,
               std::shared_ptr<CallerExchange> exchange);

    void start();

private:
    enum class Stage {
        /** Queries which software version started the stream. */
        QueryingOrigin,
        /** Requests quota of its workspace. */
        RequestingQuota,
        Placing,
        /** Waits until it is decided whether its last replica crashed: after that crash the request may have to be refused. */
        ClassifyingCrash,
        Sending,
        /** The replica has started to answer. */
        Receiving,
        /** Checks whether the end of an answer without a length is the real one. */
        CheckingEnd,
        Over,
    };

    bool isStream() const;
    bool mayRepeat() const;
    std::chrono::milliseconds maxConnectionIdle() const;
    std::optional<WorkspaceName> senderWorkspace() const;
    void queryOrigin();
    void handleOrigin(const StreamOriginExchange::Finding &finding);
    void recordOrigin();
    void requestQuota();
    void handleQuota(const QuotaDecision &decision);
    void awaitReplicas();
    void requestPlacement();
    void handlePlacement(const Placement &placement);
    void handleRefusal(std::chrono::milliseconds retryAfter);
    /** @return why it must not be sent: replicas crash when they run it, or prompts that share a part with its own. */
    std::optional<std::string_view> crashReason() const;
    /** Ends the request if it must not be sent. @return whether it was ended */
    bool endIfCrashing();
    /** Ends the request if no replica has had it, and this node stops too soon to serve it. @return whether it was ended */
    bool endIfStopping();
    /** Does what the request is due when this node's stop has entered a phase. */
    void handleStopPhase(PlannedStop::Phase phase);
    /** Enters a stage in which recheck() is called when more becomes known about crashes. */
    void startWaiting(Stage stage);
    void recheck();
    void stopWaiting();
    void recordDisconnect();
    void recordPromptServed();
    void send(const ServingReplica &replica);
    void handleHead(const MessageHead &head) override;
    void handleBody(std::string_view data) override;
    void handleEvents(std::string_view data);
    /** Drops what is held of the answer, because all answers together take too much memory. */
    void cutAnswer();
    void handleEnd(CallEnd end) override;
    void checkEnd();
    void handleEndCheck(bool isProven);
    void handleBrokenAnswer(std::string_view reason);
    void complete();
    void completeWholeAnswer();
    bool isEmptyUnframed() const;
    void completeStream();
    void recover(PlacementVerdict verdict, std::string_view reason);
    void retryUnexecuted(PlacementVerdict verdict, std::string_view reason);
    void releaseReplica(PlacementVerdict verdict);
    void armStallTimer();
    void onStall();
    void onDeadline();
    void onCallerDisconnected();
    /** Pauses or resumes reading from the replica, so that no more is held for a slow caller. */
    void handleCallerPause(bool isPaused);
    void refuse(int status, std::chrono::milliseconds retryAfter, std::string_view reason);
    void fail(std::string_view reason);
    void finish(int status, std::string_view reason);
    SteadyTime now() const;

    GatewayContext &context;
    ServingConfigurationPointer configuration;
    /** Owned by the configuration. */
    const Route &route;
    /** The workspace that sent the request, owned by the configuration; null if it belongs to none. */
    const Workspace *workspace;
    std::shared_ptr<CallerExchange> exchange;
    RequestTraits traits;
    std::uint64_t fingerprint = 0;
    ServiceName service;
    SteadyTime arrived;
    SteadyTime deadline;
    Stage stage = Stage::RequestingQuota;
    /** Replicas that may have run the request. */
    std::uint32_t attempts = 0;
    /** Attempts after which it is known that the replica did not run the request. */
    std::uint32_t unexecutedAttempts = 0;
    std::vector<EndpointName> avoided;
    /** Set until the quota is decided. */
    QuotaClient::Ticket quotaTicket = 0;
    /** The slot at the replica, or the request for one. */
    SlotHandle slot;
    /** Set from the start to the end. */
    PlannedStop::Ticket stopTicket = 0;
    /** Set while the request waits for a slot. */
    WaitingRequests::Ticket waitingTicket = 0;
    SteadyTime placementRequested{};
    /** Whether this node selected the last replica by its own counts. */
    bool isPlacedLocally = false;
    /** Age of the list of replicas when the last one was selected. */
    std::chrono::milliseconds listAge{0};
    SteadyTime sent{};
    std::optional<ServingReplica> replica;
    /** Software version of the replica to which the request was sent last. */
    SoftwareVersion version;
    /** Software version that started the stream. Empty until the caller has received an event or the origin was found. */
    SoftwareVersion startedVersion;
    /** See PlacementQuery. */
    std::chrono::milliseconds soleVersionFor{0};
    /** Set until the query for the origin of the stream is answered. */
    StreamOriginExchange::Ticket originTicket = 0;
    OutboundPool::CallId call = 0;
    RunMeasurement measurement;
    /** Whether reading from the replica was paused for the caller in this attempt. */
    bool wasPaused = false;
    MessageHead answer;
    /** Of the answer of the last attempt. */
    BodyFraming framing = BodyFraming::None;
    std::string body;
    EventSplitter splitter;
    /** The memory of both. */
    AnswerBudget::Share held;
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t eventsForwarded = 0;
    /** Those of them that were forwarded before the last attempt. */
    std::uint32_t eventsBeforeAttempt = 0;
    /** Whether it was recorded that the replica of this attempt has served the prompt. */
    bool isPromptServed = false;
    TimerId deadlineTimer = 0;
    TimerId listTimer = 0;
    TimerId stallTimer = 0;
};

} // namespace Dogwoodkeel
