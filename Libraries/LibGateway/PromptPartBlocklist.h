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

/** Names a part of prompts among those of all services, by a hash. */
using PromptPart = std::uint64_t;

/** @return the parts of a prompt at a service, in their order. */
std::vector<PromptPart> promptParts(const ServiceName &service, const std::vector<std::string> &names);

/** Events after which a run has shown that its prompt can be served: the first one may still leave a replica that goes down. */
inline constexpr std::uint32_t eventsOfServedPrompt = 2;

/**
 * Finds the parts of prompts under which replicas crash, and blocks them.
 *
 * Requests with such a part need have nothing else in common, and sound requests have their other parts. A crash is held against
 * the parts of all requests that the replica had hardly begun to answer. A part is blocked once it explains several crashes, at
 * moments apart, since a prompt with it was last served; crashes that a blocked part explains are held against no other one. Of
 * parts that explain as many, the one that was never served, or comes later in the prompt, is blocked.
 */
class PromptPartGuard
{
public:
    explicit PromptPartGuard(const Clock &clock);

    /**
     * A replica crashed when it had hardly begun to answer a request; called for each such request.
     * @param parts those that other requests may have too, in their order
     */
    void noteCrash(const EndpointName &replica, const std::vector<PromptPart> &parts);

    /**
     * A prompt with these parts was served.
     * @return those of them that crashes were held against: no other node holds them against these any more once it is told
     */
    std::vector<PromptPart> noteServed(const std::vector<PromptPart> &parts);

    /** @return whether a request with these parts must not be sent. */
    bool isBlocked(const std::vector<PromptPart> &parts) const;

    /** What a node knows of a blocked part. */
    struct Blocked
    {
        PromptPart part = 0;
        /** How long ago the last crash was that it explains. */
        std::chrono::milliseconds age{0};
        /** How often it was blocked. */
        std::uint32_t times = 0;
    };

    /** @return the parts that are blocked now, the most recent first. @param most how many at most */
    std::vector<Blocked> blocked(std::size_t most) const;

    /** Another node has blocked a part. */
    void merge(const Blocked &reported);

private:
    /** One replica's crash. */
    struct Crash
    {
        EndpointName replica;
        SteadyTime time{};
        /** By the part, how far behind the start of a prompt it stood. */
        std::map<PromptPart, std::size_t> parts;
    };

    struct Block
    {
        /** When the last crash was that it explains. */
        SteadyTime lastCrash{};
        std::uint32_t times = 0;
    };

    /** How strongly a part is suspected. */
    struct Suspect
    {
        PromptPart part = 0;
        /** Crashes that it would explain. */
        int crashes = 0;
        /** Those that nothing explains yet, since the first of these. */
        int allCrashes = 0;
        SteadyTime served{};
        std::size_t depth = 0;
    };

    void forgetOld();
    void judge();
    std::optional<Suspect> strongest() const;
    Suspect suspicionOf(PromptPart part) const;
    int crashesToBlock(const Suspect &suspect) const;
    bool isExplained(const Crash &crash) const;
    bool isBlocking(const Block &block) const;

    const Clock &clock;
    std::deque<Crash> crashes;
    std::map<PromptPart, Block> blocks;
    /** When prompts with a part were last served. */
    ServedTimes served;
};

} // namespace Dogwoodkeel
