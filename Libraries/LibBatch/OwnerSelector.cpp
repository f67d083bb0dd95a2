#include <LibBatch/OwnerSelector.h>

namespace Dogwoodkeel
{

namespace
{

/** Every such choice is the owner not asked for longest. */
constexpr std::uint64_t exploreEvery = 4;
/** How long an owner that had nothing is left alone: its advertisement lingers, and items may come back to it. */
constexpr std::chrono::milliseconds emptyPause{300};

} // namespace

OwnerChoice::OwnerChoice(const Clock &clock) : clock(clock)
{
}

std::optional<SessionNumber> OwnerChoice::choose(const std::string &model, const std::vector<SessionNumber> &candidates)
{
    const SteadyTime now = this->clock.now();
    std::optional<SessionNumber> urgent;
    std::optional<SessionNumber> oldest;
    const Known *urgentKnown = nullptr;
    const Known *oldestKnown = nullptr;
    for (const SessionNumber candidate : candidates) {
        const Known &each = this->known[{model, candidate}];
        if (!each.hasItems && now - each.asked < emptyPause) {
            continue;
        }
        if (oldestKnown == nullptr || each.asked < oldestKnown->asked) {
            oldest = candidate;
            oldestKnown = &each;
        }
        const bool isKnown = each.asked != SteadyTime() && each.hasItems;
        if (isKnown && (urgentKnown == nullptr || each.latestStart < urgentKnown->latestStart)) {
            urgent = candidate;
            urgentKnown = &each;
        }
    }
    const bool isNew = oldestKnown != nullptr && oldestKnown->asked == SteadyTime();
    const bool explores = ++this->choices % exploreEvery == 0;
    const auto chosen = isNew || explores || !urgent ? oldest : urgent;
    if (chosen) {
        this->known[{model, *chosen}].asked = now;
    }
    return chosen;
}

void OwnerChoice::learn(const std::string &model, SessionNumber owner, std::uint32_t waiting, WallTime latestStart)
{
    Known &each = this->known[{model, owner}];
    each.hasItems = waiting > 0;
    each.latestStart = latestStart;
}

void OwnerChoice::forget(SessionNumber owner)
{
    std::erase_if(this->known, [owner](const auto &entry) {
        return entry.first.second == owner;
    });
}

} // namespace Dogwoodkeel
