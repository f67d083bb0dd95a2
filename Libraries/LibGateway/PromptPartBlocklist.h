#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibGateway/ServedTimes.h>
#include <LibGateway/ServingConfiguration.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Identifies a part of prompts, across all services, by a hash. */
using PromptPart = std::uint64_t;

/** @return the parts of a prompt for a service, in the order of their names. */
std::vector<PromptPart> promptParts(const ServiceName &service, const std::vector<std::string> &names);

/** Events after which a prompt counts as served. A replica that is crashing may still send the first event. */
inline constexpr std::uint32_t minEventsOfServedPrompt = 2;

/**
 * Detects the parts of prompts that crash replicas, and blocks requests that have them.
 *
 * Requests with such a part may have nothing else in common, and their other parts also occur in valid requests. A crash is
 * attributed to the parts of all requests for which the replica had sent fewer than `minEventsOfServedPrompt` events. A part is
 * blocked once it explains several crashes at separate times since a prompt with it was last served. Crashes that a blocked part
 * explains are not attributed to other parts. Among parts that explain equally many crashes, the one served least recently, or
 * never, is blocked; then the one that is later in the prompt.
 *
 * Crashes with another cause may block a valid part. Batch items are owed, so they test a blocked part one at a time.
 */
class PromptPartBlocklist
{
public:
    explicit PromptPartBlocklist(const Clock &clock);

    /**
     * Records that a replica crashed before it had sent `minEventsOfServedPrompt` events of a request. Called for each such
     * request.
     * @param parts the parts of the prompt that other requests may share, in order
     */
    void recordCrash(const EndpointName &replica, const std::vector<PromptPart> &parts);

    /**
     * Records that a prompt with these parts was served, and unblocks them.
     * @return the parts to which crashes were attributed; other nodes must be notified so that they unblock them too
     */
    std::vector<PromptPart> recordServed(const std::vector<PromptPart> &parts);

    /** @return whether a request with these parts must not be sent to a replica. */
    bool isBlocked(const std::vector<PromptPart> &parts) const;

    /**
     * @return whether a batch item with these parts may be sent to a replica. If one of them is blocked, the item tests it, and a
     * run that is served unblocks it. On each node one item at a time tests a part, some seconds after its last crash.
     */
    bool mayTest(const std::vector<PromptPart> &parts) const;

    /** Records that an item with these parts is sent to a replica. */
    void recordTest(const std::vector<PromptPart> &parts);

    /** A blocked part, as nodes exchange it. */
    struct BlockedPart
    {
        PromptPart part = 0;
        /** Time since the last crash that the part explains. */
        std::chrono::milliseconds age{0};
        /** How many times the part was blocked. */
        std::uint32_t times = 0;
    };

    /**
     * @param maxCount maximum number of parts
     * @return the parts that are blocked now, ordered by ascending age
     */
    std::vector<BlockedPart> blockedParts(std::size_t maxCount) const;

    /** Applies a block that another node reported, unless the part was served since. */
    void merge(const BlockedPart &reported);

private:
    /** The crash of one replica. */
    struct Crash
    {
        EndpointName replica;
        SteadyTime time{};
        /** The suspected parts, each with its index in the prompt. */
        std::map<PromptPart, std::size_t> parts;
    };

    struct Block
    {
        /** Time of the last crash that the part explains. */
        SteadyTime lastCrash{};
        std::uint32_t times = 0;
        /** When this node last sent an item to test the part; unset if it has not. */
        SteadyTime lastTest{};
    };

    /** A part that may cause crashes, and the evidence against it. */
    struct Suspect
    {
        PromptPart part = 0;
        /** Number of crashes that it would explain. */
        int crashes = 0;
        /** Number of crashes that no blocked part explains, since the first crash that this part would explain. */
        int unexplainedCrashes = 0;
        /** When a prompt with the part was last served. */
        SteadyTime lastServed{};
        /** Largest index of the part in a prompt. */
        std::size_t depth = 0;
    };

    void removeExpired();
    void updateBlocks();
    std::optional<Suspect> strongestSuspect() const;
    Suspect suspectOf(PromptPart part) const;
    int crashesToBlock(const Suspect &suspect) const;
    bool isExplained(const Crash &crash) const;
    bool isActive(const Block &block) const;

    const Clock &clock;
    std::deque<Crash> crashes;
    std::map<PromptPart, Block> blocks;
    /** When prompts with a part were last served. */
    ServedTimes served;
};

} // namespace Dogwoodkeel
