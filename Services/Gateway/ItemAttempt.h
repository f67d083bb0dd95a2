#pragma once

#include <LibDispatch/RunMeasurement.h>
#include <LibGateway/AnswerBudget.h>
#include <LibGateway/BatchTypes.h>
#include <LibGateway/EventSplitter.h>
#include <LibGateway/JobRows.h>
#include <LibGateway/OpenConfirmation.h>
#include <Services/Gateway/GatewayContext.h>
#include <Services/Gateway/ReplicaCall.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Runs one batch item to its end. If a replica fails or is unresponsive, another one continues behind the last event
 * received. */
class ItemAttempt final : public ReplicaAnswerHandler, public std::enable_shared_from_this<ItemAttempt>
{
public:
    /** How the run of an item ended. */
    enum class End {
        /** The output is complete. */
        Completed,
        /** A replica ran the item and failed. */
        Failed,
        /** A replica reported that the item can never be processed. */
        Impossible,
        /** The configuration has had no route for the item for some seconds. */
        Unrouted,
    };

    /** The service that runs items of the job, by the configuration in force. */
    struct Target
    {
        ServiceName service;
        std::uint32_t priority = 0;
        std::chrono::milliseconds longestPause{0};
        /** Weight of the job's workspace when slots are shared between workspaces. */
        double weight = 1;
    };

    /** The route of an item by the configuration in force. */
    struct Routing
    {
        /** Where the item is to run; nothing if that is not known at present. */
        std::optional<Target> target;
        /** Whether neither the job's route nor another one for the item exists any more. */
        bool isRemoved = false;
    };

    /** Properties that all items of a job share. */
    struct Origin
    {
        JobId job;
        std::string host;
        /** The workspace that the job belongs to; empty if its caller needed no key. */
        WorkspaceName workspace;
    };

    struct Hooks
    {
        std::function<Routing()> routing;
        std::function<void(End, std::string output)> ended;
        /** Confirms with the store that the job is open. */
        std::function<void(OpenConfirmation::Callback)> confirmOpen;
    };

    ItemAttempt(GatewayContext &context, const JobItem &item, Origin origin, SteadyTime due, Hooks hooks);

    /** Starts behind the output that this or another node has received before. */
    void start(JobRows::Generated before);

    /** Starts from the beginning after a failure. */
    void restart();

    /** @return the output received since the last call, to be stored; nothing if there is none. */
    std::optional<ItemProgress> takeProgress(std::uint32_t number);

    /** Requests a slot anew if the item waits for one at a service that is no longer its target. */
    void handleConfigurationChange();

    /** @return since when no replica has run the item; nothing if one runs it. */
    std::optional<SteadyTime> waitingSince() const;

    /**
     * Logs what the item waits for.
     * @param waitingItems number of items of its job that wait
     */
    void logWait(std::size_t waitingItems) const;

    /** Stops at once; no hook is called any more. */
    void cancel();

private:
    void requestPlacement();
    void requestPlacementLater();
    /** Waits until there is a target, or ends the attempt if the route has been removed for some seconds. */
    void waitForRoute(const Routing &routing);
    void hold(std::string_view reason);
    /** @return why the item must not be sent now, because replicas crash when they run it or a part of its prompt; or nothing. */
    std::optional<std::string_view> holdReason() const;
    /** Records that the item tests the blocked parts of its prompt, if there are any. */
    void recordTest();
    void recordPromptServed();
    std::uint64_t eventsOfRun() const;
    void recordLostConnection();
    void confirmBeforeRequest();
    void restartOnOtherVersion();
    void dropOutput();
    void handlePlacement(const Placement &placement);
    void handleConfirmation(const Placement &placement, std::chrono::milliseconds age);
    void send(const ServingReplica &replica, std::chrono::milliseconds confirmedAge);
    void handleHead(const MessageHead &head) override;
    void handleBody(std::string_view data) override;
    void handleEnd(CallEnd end) override;
    /** Checks whether the end of a stream without a length is the real one. */
    void checkEnd();
    void handleBrokenStream(std::string_view reason);
    void complete();
    /** Drops the output, because all answers together take too much memory, and starts anew. */
    void dropForMemory();
    /** Ends the run because its output exceeds the maximum size of an answer. */
    void cutOutput();
    void logCompletion() const;
    void leaveReplica(PlacementVerdict verdict);
    /** @return what the item waits for. */
    std::string_view waitStage() const;
    void continueElsewhere(PlacementVerdict verdict, std::string_view reason);
    void armResponseTimer();
    /** Ends the attempt after an answer of the replica. */
    void finish(End end);
    void end(End end);

    GatewayContext &context;
    const JobItem item;
    Origin origin;
    SteadyTime due;
    Hooks hooks;
    std::uint64_t fingerprint;
    /** Expected work in tokens. */
    std::uint32_t cost = 0;
    std::uint64_t maxOutputTokens = 0;
    /** Parts of the prompt that other requests may contain too. */
    std::vector<std::string> sharedParts;
    /** Whether it was recorded that the replica of this run has served the prompt. */
    bool isPromptServed = false;
    Target target;
    /** Since when the configuration has no route for the item; nothing if it has one, or is not known. */
    std::optional<SteadyTime> unroutedSince;
    std::vector<EndpointName> avoided;
    /** The slot at the replica, or the request for one. */
    SlotHandle slot;
    std::optional<ServingReplica> replica;
    /** When the last run ended, or the attempt began. */
    SteadyTime lastLeft{};
    OutboundPool::CallId call = 0;
    RunMeasurement measurement;
    std::optional<MessageHead> answer;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    std::string output;
    /** The memory of the output and of the splitter. */
    AnswerBudget::Share held;
    /** The version of the replicas that generated the output; empty if there is no output. */
    SoftwareVersion version;
    /** The last event, and the size of the output, that takeProgress() has returned or that was stored before the start. */
    std::uint64_t savedEvent = 0;
    std::size_t savedBytes = 0;
    /** Identifies a run at a replica, and the event behind which it was requested to continue. */
    struct Run
    {
        std::uint64_t name = 0;
        std::uint64_t after = 0;
    };
    Run run;
    SteadyTime sentAt{};
    /** The runs that generated the first event not yet stored, and the last event. */
    Run firstUnsaved;
    Run lastGenerated;
    TimerId responseTimer = 0;
    TimerId retryTimer = 0;
    /** The store did not confirm at the last query that the job is open: no slot is requested before it does. */
    bool mustConfirmFirst = false;
    bool isOver = false;
};

} // namespace Dogwoodkeel
