#include <LibBatch/OwnerSelector.h>

namespace Dogwoodkeel
{

namespace
{

/** One selection in this many is the least recently queried owner. */
constexpr std::uint64_t exploreEvery = 4;
/** How long an owner without items is not queried: its advertisement lags behind, and items may be returned to it. */
constexpr std::chrono::milliseconds emptyOwnerPause{300};

} // namespace

OwnerSelector::OwnerSelector(const Clock &clock) : clock(clock)
{
}

std::optional<SessionNumber> OwnerSelector::select(const std::string &model, const std::vector<SessionNumber> &candidates)
{
    const SteadyTime now = this->clock.now();
    std::optional<SessionNumber> urgent;
    std::optional<SessionNumber> oldest;
    const OwnerState *urgentState = nullptr;
    const OwnerState *oldestState = nullptr;
    for (const SessionNumber candidate : candidates) {
        const OwnerState &each = this->owners[{model, candidate}];
        if (!each.hasItems && now - each.queried < emptyOwnerPause) {
            continue;
        }
        if (oldestState == nullptr || each.queried < oldestState->queried) {
            oldest = candidate;
            oldestState = &each;
        }
        const bool isKnown = each.queried != SteadyTime() && each.hasItems;
        if (isKnown && (urgentState == nullptr || each.latestStart < urgentState->latestStart)) {
            urgent = candidate;
            urgentState = &each;
        }
    }
    const bool isNew = oldestState != nullptr && oldestState->queried == SteadyTime();
    const bool isExploring = ++this->selections % exploreEvery == 0;
    const auto selected = isNew || isExploring || !urgent ? oldest : urgent;
    if (selected) {
        this->owners[{model, *selected}].queried = now;
    }
    return selected;
}

void OwnerSelector::recordAnswer(const std::string &model, SessionNumber owner, std::uint32_t waiting, WallTime latestStart)
{
    OwnerState &each = this->owners[{model, owner}];
    each.hasItems = waiting > 0;
    each.latestStart = latestStart;
}

void OwnerSelector::remove(SessionNumber owner)
{
    std::erase_if(this->owners, [owner](const auto &entry) {
        return entry.first.second == owner;
    });
}

} // namespace Dogwoodkeel
