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

/** How a lane makes room for online requests. */
enum class LanePolicy {
    /** Batch items fill what online requests leave, and stop for them. */
    Yield,
    /** A fixed number of batch items, whatever runs beside them. */
    FixedLimit,
    /** Batch items take every place, and stop for nothing. */
    Unlimited,
};

/** What an engine reports of itself, late. */
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/**
 * How many batch items may run on one replica. Its holder alone starts batch work there, and so can stop it at once
 * when online requests come.
 *
 * A lane that was just taken, or whose holder was paused, is not settled: items of another holder may run there. Until
 * the engine's reports have shown for a while that none do, what they show beyond what is known counts as taken.
 */
class Lane
{
public:
    struct Options
    {
        LanePolicy policy = LanePolicy::Yield;
        /** Requests the replica runs side by side. */
        std::uint32_t capacity = 0;
        /** Places kept free for online requests that are not yet known of, at least. */
        std::uint32_t headroom = 0;
        /** With FixedLimit. */
        std::uint32_t fixedLimit = 0;
        /** How much longer online requests' time per token may get because of batch items, 0.1 for a tenth. */
        double slowdown = 0;
        /** From an online request's dispatch until the places of cancelled items are free; until it has been measured. */
        std::chrono::milliseconds reaction{50};
    };

    Lane(const Clock &clock, const Options &options);

    void configure(const Options &options);

    /**
     * An entry told how many online requests it has there. The number is absolute, so a lost notice heals with the
     * next, and an older one that arrives late is dropped.
     */
    void observeOnline(SessionNumber entry, std::uint64_t sequence, std::uint32_t inFlight);

    /** An entry is gone, and its requests with it. */
    void forget(SessionNumber entry);

    /** Drop the notices that their entries should have repeated since. */
    void expireNotices();

    void observeReport(const EngineLoad &report);

    /** A batch item got a token. @param gap since the one before */
    void observeTokenGap(std::chrono::nanoseconds gap);

    /** The engine has confirmed that an item is cancelled. @param passed since it was told */
    void observeCancel(std::chrono::nanoseconds passed);

    /**
     * The engine has answered a call. Stands in for a cancellation's time until one was seen: with a headroom for a slow
     * reaction no item would ever have to stop, and the reaction would never be learned.
     */
    void observeAnswer(std::chrono::nanoseconds passed);

    /** Another holder may run items there: trust the engine's reports only. */
    void unsettle();
    bool isSettled() const;

    /** No report can be had, and every lease of another holder has ended by now. */
    void settle();

    void itemStarted();
    /** An item has its first token, so that the engine is done with its prompt. */
    void itemGotFirstToken();
    /** @param proceeded whether it had its first token */
    void itemStopped(bool proceeded);

    /** @return items that may be started now. */
    std::uint32_t freeSlots() const;

    /** @return running items that must stop now, to give their places to online requests. */
    std::uint32_t excess() const;

    std::uint32_t running() const;
    std::uint32_t online() const;
    std::uint32_t headroom() const;

    /** @return streams, online and batch, that may run beside each other now. */
    std::uint32_t streamLimit() const;

    /** @return how long it takes to free a place, as measured. */
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
    /** Those without their first token. */
    std::uint32_t starting = 0;
    SteadyTime lastOnline{};
    std::uint32_t onlineSum = 0;
    std::map<SessionNumber, Notice> notices;
    HeadroomEstimate headroomEstimate;
    std::chrono::nanoseconds reaction;
    bool isReactionMeasured = false;
    bool isAnswerMeasured = false;
    StepModel stepModel;
    /** Streams that the engine reports and nobody here knows of. */
    std::uint32_t unknownStreams = 0;
    std::uint32_t reportsUntilSettled = 0;
    std::uint32_t reportsSeen = 0;
    std::uint32_t reportsWithUnknownStreams = 0;
};

} // namespace Dogwoodkeel
