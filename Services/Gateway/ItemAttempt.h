#pragma once

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
#include <vector>

namespace Dogwoodkeel
{

/** Runs one batch item to its end: at one replica after the other, each going on where the one before stopped. */
class ItemAttempt final : public ReplicaAnswerHandler, public std::enable_shared_from_this<ItemAttempt>
{
public:
    /** How an item left the replicas. */
    enum class End {
        /** It has its whole output. */
        Completed,
        /** A replica ran it and failed. */
        Failed,
        /** A replica says that it can never be done. */
        Impossible,
    };

    /** Where items of its job go now. */
    struct Target
    {
        ServiceName service;
        std::uint32_t priority = 0;
        std::chrono::milliseconds longestPause{0};
    };

    /** What all items of its job have in common. */
    struct Origin
    {
        JobId job;
        std::string host;
        /** Whose job it is; empty if its caller needed no key. */
        WorkspaceName workspace;
    };

    struct Hooks
    {
        /** @return where it goes, by the configuration in force; nothing: nowhere for now. */
        std::function<std::optional<Target>()> target;
        std::function<void(End, std::string output)> ended;
        /** Confirms by the store that the job is open. */
        std::function<void(OpenConfirmation::Callback)> confirmOpen;
    };

    ItemAttempt(GatewayContext &context, const JobItem &item, Origin origin, SteadyTime due, Hooks hooks);

    /** Begin behind what was generated before, by this node or another. */
    void start(JobRows::Generated before);

    /** Begin anew after a failure. */
    void restart();

    /** @return what was generated since the last call, as a part to be kept; nothing if there is nothing new. */
    std::optional<ItemProgress> takeProgress(std::uint32_t number);

    /** Give up at once; the hooks are told nothing more. */
    void cancel();

private:
    void askForPlace();
    void askLater();
    void hold();
    /** @return whether it must not be sent now: replicas crash under it, or under a part of its prompt. */
    bool isHeldBack() const;
    std::uint64_t eventsOfRun() const;
    void noteBreak();
    void confirmBeforeAsking();
    void beginAnew();
    void dropOutput();
    void takePlacement(const Placement &placement);
    void takeConfirmation(const Placement &placement, std::chrono::milliseconds age);
    void send(const ServingReplica &replica, std::chrono::milliseconds confirmedAge);
    void handleHead(const MessageHead &head) override;
    void handleBody(std::string_view data) override;
    void handleEnd(CallEnd end) override;
    void leave(PlacementVerdict verdict);
    void goOn(PlacementVerdict verdict, std::string_view reason);
    void armSilence();
    void finish(End end);

    GatewayContext &context;
    const JobItem item;
    Origin origin;
    SteadyTime due;
    Hooks hooks;
    std::uint64_t fingerprint;
    /** Those that other requests may have too. */
    std::vector<std::string> sharedParts;
    /** Whether it was noted that a replica has served its prompt. */
    bool isPromptServed = false;
    Target target;
    std::vector<EndpointName> avoided;
    PlacementClient::Ticket ticket = 0;
    std::optional<ServingReplica> replica;
    OutboundPool::CallId call = 0;
    std::optional<MessageHead> answer;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    std::string output;
    /** Of the replicas that generated the output; empty if there is none. */
    SoftwareVersion version;
    /** Up to where the output is kept. */
    std::uint64_t keptEvent = 0;
    std::size_t keptBytes = 0;
    /** Names the run at a replica, and says behind which event it was asked to go on. */
    struct Run
    {
        std::uint64_t name = 0;
        std::uint64_t after = 0;
    };
    Run run;
    SteadyTime sent{};
    /** The run that generated the first event that is not kept, and the last one. */
    Run firstUnkept;
    Run lastGenerated;
    TimerId silenceTimer = 0;
    TimerId retryTimer = 0;
    /** The store did not confirm that the job is open when it was asked last: no place is taken before it does. */
    bool mustConfirmFirst = false;
    bool isOver = false;
};

} // namespace Dogwoodkeel
