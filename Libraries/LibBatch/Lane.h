#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibBatch/HeadroomEstimate.h>
#include <LibBatch/StepModel.h>

#include <chrono>
#include <cstdint>
#include <map>

namespace Dogwoodkeel
{

/** How a lane shares a replica with online requests. */
enum class LanePolicy {
    /** Batch items use the slots that online requests leave free, and are stopped for online requests. */
    Yield,
    /** Runs a fixed max number of batch items, regardless of online requests. */
    FixedLimit,
    /** Batch items may use every slot and are never stopped. */
    Unlimited,
};

/** Load that an engine reports, with a delay. */
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/**
 * Decides how many batch items may run on one replica. Only the node that holds the lane starts batch items on the replica, so it
 * can stop them at once when online requests arrive.
 *
 * A lane is not settled after it was acquired or after its holder was paused: items of another holder may still run. Until
 * several reports of the engine in a row show no such items, streams beyond the known ones count as occupied slots.
 */
class Lane
{
public:
    struct Options
    {
        LanePolicy policy = LanePolicy::Yield;
        /** Max number of requests that the replica runs concurrently. */
        std::uint32_t capacity = 0;
        /** Min number of slots kept free for online requests that are not known yet. */
        std::uint32_t headroom = 0;
        /** Max number of items with FixedLimit. */
        std::uint32_t fixedLimit = 0;
        /** Tolerated relative increase of the time per token of online requests due to batch items; 0.1 is 10 percent. */
        double slowdown = 0;
        /** Time from the dispatch of an online request until the slots of cancelled items are free; used until it is measured. */
        std::chrono::milliseconds reaction{50};
    };

    Lane(const Clock &clock, const Options &options);

    void configure(const Options &options);

    /**
     * Handles the notice of an entry about its online requests on the replica. The number is absolute, so the next notice makes
     * up for a lost one. An older notice that arrives late is dropped.
     */
    void observeOnline(SessionNumber entry, std::uint64_t sequence, std::uint32_t inFlight);

    /** Removes an entry that has departed, and its requests. */
    void forget(SessionNumber entry);

    /** Drops notices that their entries did not repeat in time. */
    void expireNotices();

    void observeReport(const EngineLoad &report);

    /** Records that a batch item received a token. @param gap time since its previous token */
    void observeTokenGap(std::chrono::nanoseconds gap);

    /** Records that the engine confirmed a cancellation. @param passed time since the cancellation was sent */
    void observeCancel(std::chrono::nanoseconds passed);

    /**
     * Records the response time of the engine to a call. It is used as the reaction time until a cancellation was measured: with
     * the headroom for a slow assumed reaction no item would ever have to stop, and the reaction would never be measured.
     */
    void observeAnswer(std::chrono::nanoseconds passed);

    /** Relies on the reports of the engine from now on, because another holder may run items on the replica. */
    void unsettle();
    bool isSettled() const;

    /** Settles the lane without reports, once every lease of another holder has expired. */
    void settle();

    void itemStarted();
    /** Records that an item received its first token: the engine has processed its prompt. */
    void itemGotFirstToken();
    /** @param proceeded whether the item had received its first token */
    void itemStopped(bool proceeded);

    /** @return number of items that may be started now. */
    std::uint32_t freeSlots() const;

    /** @return number of running items that must stop now to free their slots for online requests. */
    std::uint32_t excess() const;

    std::uint32_t running() const;
    std::uint32_t online() const;
    std::uint32_t headroom() const;

    /** @return max number of concurrent streams, online and batch. */
    std::uint32_t streamLimit() const;

    /** @return measured time that it takes to free a slot. */
    std::chrono::nanoseconds reactionTime() const;

private:
    struct Notice
    {
        std::uint64_t sequence = 0;
        std::uint32_t inFlight = 0;
        SteadyTime at{};
    };

    double noSlotShare() const;
    bool hasRecentOnline() const;
    void updateReaction(std::chrono::nanoseconds passed);

    const Clock &clock;
    Options options;
    std::uint32_t items = 0;
    /** Items that have not received their first token. */
    std::uint32_t starting = 0;
    SteadyTime lastOnline{};
    std::uint32_t onlineSum = 0;
    std::map<SessionNumber, Notice> notices;
    HeadroomEstimate headroomEstimate;
    std::chrono::nanoseconds reaction;
    bool isReactionMeasured = false;
    bool isAnswerMeasured = false;
    StepModel stepModel;
    /** Streams that the engine reports beyond the known ones. */
    std::uint32_t unknownStreams = 0;
    std::uint32_t reportsUntilSettled = 0;
    std::uint32_t reportsSeen = 0;
    std::uint32_t reportsWithUnknownStreams = 0;
};

} // namespace Dogwoodkeel
