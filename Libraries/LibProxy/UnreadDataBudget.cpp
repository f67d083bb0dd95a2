#include <LibProxy/UnreadDataBudget.h>

#include <algorithm>
#include <tuple>

namespace Dogwoodkeel
{

namespace
{

/**
 * A caller that has had unread data for this long counts as slow, and is disconnected before one that has not. The largest
 * correct response, a job's result of 1 MB, takes 0.27 s over a link of 30 Mbit/s.
 */
constexpr std::chrono::milliseconds slowAfter{500};

} // namespace

UnreadDataBudget::UnreadDataBudget(const Clock &clock, const UnreadDataLimits &limits) : clock(clock), limits(limits)
{
}

void UnreadDataBudget::setLimits(const UnreadDataLimits &limits)
{
    this->limits = limits;
}

bool UnreadDataBudget::record(CallerNumber caller, std::size_t bytes, bool isStreaming)
{
    Caller &recorded = this->callers[caller];
    if (recorded.bytes == 0) {
        recorded.unreadSince = this->clock.now();
    }
    this->totalBytes = this->totalBytes - recorded.bytes + bytes;
    recorded.bytes = bytes;
    recorded.isStreaming = isStreaming;
    const bool isChanged = recorded.isPaused ? bytes <= this->limits.pauseBytes / 2 : bytes >= this->limits.pauseBytes;
    if (isChanged) {
        this->changed.insert(caller);
    } else if (bytes == 0) {
        this->callers.erase(caller);
    }
    return isChanged || this->totalBytes > this->limits.totalBytes;
}

void UnreadDataBudget::remove(CallerNumber caller)
{
    const auto found = this->callers.find(caller);
    if (found == this->callers.end()) {
        return;
    }
    this->totalBytes -= found->second.bytes;
    this->callers.erase(found);
    this->changed.erase(caller);
    this->paused.erase(caller);
}

std::vector<UnreadDataBudget::Decision> UnreadDataBudget::decide()
{
    std::vector<Decision> decisions;
    while (!this->changed.empty()) {
        const CallerNumber number = *this->changed.begin();
        this->changed.erase(this->changed.begin());
        this->decidePause(number, decisions);
    }
    const SteadyTime now = this->clock.now();
    const std::set<CallerNumber> waiting = this->paused;
    for (const CallerNumber number : waiting) {
        const Caller &caller = this->callers.at(number);
        if (caller.isStreaming && now - caller.pausedSince >= this->limits.maxPause) {
            this->disconnect(number, Action::DisconnectPaused, decisions);
        }
    }
    while (this->totalBytes > this->limits.totalBytes) {
        this->disconnect(this->findLargest(), Action::DisconnectLargest, decisions);
    }
    return decisions;
}

void UnreadDataBudget::decidePause(CallerNumber number, std::vector<Decision> &decisions)
{
    Caller &caller = this->callers.at(number);
    if (!caller.isPaused && caller.bytes >= this->limits.pauseBytes) {
        caller.isPaused = true;
        caller.pausedSince = this->clock.now();
        this->paused.insert(number);
        decisions.push_back({number, Action::Pause, caller.bytes});
    } else if (caller.isPaused && caller.bytes <= this->limits.pauseBytes / 2) {
        caller.isPaused = false;
        this->paused.erase(number);
        decisions.push_back({number, Action::Resume, caller.bytes});
    }
    if (!caller.isPaused && caller.bytes == 0) {
        this->callers.erase(number);
    }
}

UnreadDataBudget::CallerNumber UnreadDataBudget::findLargest() const
{
    const SteadyTime now = this->clock.now();
    const auto rank = [now](const auto &entry) {
        return std::tuple(now - entry.second.unreadSince >= slowAfter, entry.second.bytes, entry.first);
    };
    return std::ranges::max_element(this->callers, {}, rank)->first;
}

void UnreadDataBudget::disconnect(CallerNumber number, Action action, std::vector<Decision> &decisions)
{
    decisions.push_back({number, action, this->callers.at(number).bytes});
    this->remove(number);
}

std::size_t UnreadDataBudget::total() const
{
    return this->totalBytes;
}

std::size_t UnreadDataBudget::pausedCallers() const
{
    return this->paused.size();
}

} // namespace Dogwoodkeel
