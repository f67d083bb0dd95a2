#include <LibGateway/PromptPartBlocklist.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Crashes that a part must explain to be blocked. Valid requests meet one by chance, rarely several without being served. */
constexpr int minCrashes = 4;
/** The same for a part that was served recently, so it occurs in many requests, or that explains only some of the crashes. */
constexpr int minCrashesIfUncertain = 8;
constexpr std::chrono::seconds recentlyServedWindow{30};
/** Crashes within this time may have one cause outside the requests, such as a lost failure domain or a network reset. */
constexpr std::chrono::milliseconds simultaneityWindow{60};
/** Nodes report the same crash within this time, as each classifies it and notifies the others. */
constexpr std::chrono::milliseconds duplicateReportWindow{500};
constexpr std::chrono::minutes crashRetention{5};
constexpr std::size_t maxCrashes = 128;
/** How long a part is blocked after the last crash that it explains. Doubles each time it crashes a replica after a block. */
constexpr std::chrono::minutes initialBlockDuration{2};
constexpr std::uint32_t maxDoublings = 4;
/** How long after the last crash a node lets an item test a blocked part: a replica has restarted by then. */
constexpr std::chrono::seconds firstTestDelay{5};
/** The same after a test that has not unblocked the part, counted from the test or a later crash. Short enough that a job with a
 * valid part is still completed in time. */
constexpr std::chrono::seconds nextTestDelay{10};
/** How long an expired block is kept, so that the next block of the same part is longer. */
constexpr std::chrono::hours blockRetention{2};
constexpr std::size_t maxBlocks = 1000;
/** Limits memory; far more parts than one node serves within `crashRetention`. */
constexpr std::size_t maxServedParts = 20000;

/** @return whether a crash is separate in time from the last counted one; if so, it becomes the last counted one. */
bool countIfSeparate(SteadyTime time, std::optional<SteadyTime> &lastCounted)
{
    if (lastCounted && time - *lastCounted <= simultaneityWindow) {
        return false;
    }
    lastCounted = time;
    return true;
}

std::chrono::minutes blockDuration(std::uint32_t times)
{
    return initialBlockDuration * (1 << std::min(times - 1, maxDoublings));
}

} // namespace

std::vector<PromptPart> promptParts(const ServiceName &service, const std::vector<std::string> &names)
{
    std::vector<PromptPart> parts;
    parts.reserve(names.size());
    const std::uint64_t seed = stableHash(service.value());
    for (const std::string &name : names) {
        parts.push_back(stableHash(name, seed));
    }
    return parts;
}

PromptPartBlocklist::PromptPartBlocklist(const Clock &clock) : clock(clock), served(clock, crashRetention, maxServedParts)
{
}

void PromptPartBlocklist::recordCrash(const EndpointName &replica, const std::vector<PromptPart> &parts)
{
    if (parts.empty()) {
        return;
    }
    this->removeExpired();
    const SteadyTime now = this->clock.now();
    const auto existing = std::ranges::find_if(this->crashes, [&replica, now](const Crash &crash) {
        return crash.replica == replica && now - crash.time <= duplicateReportWindow;
    });
    Crash &crash = existing != this->crashes.end() ? *existing : this->crashes.emplace_back(Crash{replica, now, {}});
    for (std::size_t depth = 0; depth < parts.size(); ++depth) {
        crash.parts.emplace(parts[depth], depth);
    }
    this->updateBlocks();
}

void PromptPartBlocklist::removeExpired()
{
    const SteadyTime now = this->clock.now();
    while (!this->crashes.empty() && (now - this->crashes.front().time > crashRetention || this->crashes.size() >= maxCrashes)) {
        this->crashes.pop_front();
    }
    std::erase_if(this->blocks, [now](const auto &entry) {
        return now - entry.second.lastCrash > blockDuration(entry.second.times) + blockRetention;
    });
}

void PromptPartBlocklist::updateBlocks()
{
    for (auto &[part, block] : this->blocks) {
        for (const Crash &crash : this->crashes) {
            if (this->isActive(block) && crash.parts.contains(part)) {
                block.lastCrash = std::max(block.lastCrash, crash.time);
            }
        }
    }
    for (std::optional<Suspect> suspect = this->strongestSuspect(); suspect && this->blocks.size() < maxBlocks;
         suspect = this->strongestSuspect()) {
        Block &block = this->blocks[suspect->part];
        ++block.times;
        for (const Crash &crash : this->crashes) {
            if (crash.parts.contains(suspect->part)) {
                block.lastCrash = std::max(block.lastCrash, crash.time);
            }
        }
    }
}

std::optional<PromptPartBlocklist::Suspect> PromptPartBlocklist::strongestSuspect() const
{
    std::set<PromptPart> parts;
    for (const Crash &crash : this->crashes) {
        if (!this->isExplained(crash)) {
            std::ranges::transform(
                crash.parts, std::inserter(parts, parts.end()), &std::pair<const PromptPart, std::size_t>::first);
        }
    }
    std::optional<Suspect> strongest;
    const auto rank = [](const Suspect &suspect) {
        return std::tuple(suspect.crashes, -suspect.lastServed.time_since_epoch(), suspect.depth);
    };
    for (const PromptPart part : parts) {
        const Suspect suspect = this->suspectOf(part);
        const bool isEnough = suspect.crashes >= this->crashesToBlock(suspect);
        if (isEnough && (!strongest || rank(suspect) > rank(*strongest))) {
            strongest = suspect;
        }
    }
    return strongest;
}

PromptPartBlocklist::Suspect PromptPartBlocklist::suspectOf(PromptPart part) const
{
    Suspect suspect{part, 0, 0, this->served.last(part).value_or(SteadyTime()), 0};
    std::optional<SteadyTime> lastCounted;
    std::optional<SteadyTime> lastCountedOfAll;
    for (const Crash &crash : this->crashes) {
        if (crash.time <= suspect.lastServed || this->isExplained(crash)) {
            continue;
        }
        const auto found = crash.parts.find(part);
        if (found != crash.parts.end()) {
            suspect.depth = std::max(suspect.depth, found->second);
            suspect.crashes += countIfSeparate(crash.time, lastCounted) ? 1 : 0;
        }
        if (suspect.crashes > 0) {
            suspect.unexplainedCrashes += countIfSeparate(crash.time, lastCountedOfAll) ? 1 : 0;
        }
    }
    return suspect;
}

int PromptPartBlocklist::crashesToBlock(const Suspect &suspect) const
{
    if (this->blocks.contains(suspect.part)) {
        return 1;
    }
    const std::optional<SteadyTime> last = this->served.last(suspect.part);
    const bool isRecentlyServed = last && this->clock.now() - *last <= recentlyServedWindow;
    const bool explainsMajority = suspect.crashes * 2 > suspect.unexplainedCrashes;
    return explainsMajority && !isRecentlyServed ? minCrashes : minCrashesIfUncertain;
}

bool PromptPartBlocklist::isExplained(const Crash &crash) const
{
    return std::ranges::any_of(crash.parts, [this](const auto &entry) {
        const auto block = this->blocks.find(entry.first);
        return block != this->blocks.end() && this->isActive(block->second);
    });
}

bool PromptPartBlocklist::isActive(const Block &block) const
{
    return this->clock.now() - block.lastCrash <= blockDuration(block.times);
}

std::vector<PromptPart> PromptPartBlocklist::recordServed(const std::vector<PromptPart> &parts)
{
    std::vector<PromptPart> suspected;
    for (const PromptPart part : parts) {
        const std::optional<SteadyTime> last = this->served.last(part);
        const bool isSuspected
            = this->blocks.contains(part) || std::ranges::any_of(this->crashes, [part, last](const Crash &crash) {
                  return crash.parts.contains(part) && (!last || crash.time > *last);
              });
        if (isSuspected) {
            suspected.push_back(part);
        }
        this->served.record(part);
        this->blocks.erase(part);
    }
    return suspected;
}

bool PromptPartBlocklist::isBlocked(const std::vector<PromptPart> &parts) const
{
    return std::ranges::any_of(parts, [this](PromptPart part) {
        const auto block = this->blocks.find(part);
        return block != this->blocks.end() && this->isActive(block->second);
    });
}

bool PromptPartBlocklist::mayTest(const std::vector<PromptPart> &parts) const
{
    return std::ranges::none_of(parts, [this](PromptPart part) {
        const auto found = this->blocks.find(part);
        if (found == this->blocks.end() || !this->isActive(found->second)) {
            return false;
        }
        const Block &block = found->second;
        const std::chrono::seconds delay = block.lastTest == SteadyTime() ? firstTestDelay : nextTestDelay;
        return this->clock.now() - std::max(block.lastCrash, block.lastTest) < delay;
    });
}

void PromptPartBlocklist::recordTest(const std::vector<PromptPart> &parts)
{
    for (const PromptPart part : parts) {
        const auto block = this->blocks.find(part);
        if (block != this->blocks.end()) {
            block->second.lastTest = this->clock.now();
        }
    }
}

std::vector<PromptPartBlocklist::BlockedPart> PromptPartBlocklist::blockedParts(std::size_t maxCount) const
{
    const SteadyTime now = this->clock.now();
    std::vector<BlockedPart> found;
    for (const auto &[part, block] : this->blocks) {
        if (this->isActive(block)) {
            found.push_back({part, std::chrono::duration_cast<std::chrono::milliseconds>(now - block.lastCrash), block.times});
        }
    }
    std::ranges::sort(found, {}, &BlockedPart::age);
    found.resize(std::min(found.size(), maxCount));
    return found;
}

void PromptPartBlocklist::merge(const BlockedPart &reported)
{
    const SteadyTime lastCrash = this->clock.now() - reported.age;
    const std::optional<SteadyTime> last = this->served.last(reported.part);
    // The other node may not have received yet that a prompt with the part was served since.
    if (reported.times == 0 || (last && *last >= lastCrash) || this->blocks.size() >= maxBlocks) {
        return;
    }
    Block &block = this->blocks[reported.part];
    block.lastCrash = std::max(block.lastCrash, lastCrash);
    block.times = std::max(block.times, reported.times);
}

} // namespace Dogwoodkeel
