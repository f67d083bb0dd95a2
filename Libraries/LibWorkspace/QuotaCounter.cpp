#include <LibWorkspace/QuotaCounter.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** While nobody has a claim, two may count for a moment. */
constexpr double sharedFilling = 0.5;

} // namespace

QuotaCounter::QuotaCounter(const Clock &clock, const QuotaBounds &bounds, Beginning beginning)
    : clock(clock), bounds(bounds), beginning(beginning)
{
}

QuotaMargins QuotaCounter::marginsOf(const RequestQuota &quota) const
{
    return QuotaMargins(this->bounds.tolerance(quota));
}

void QuotaCounter::confirm()
{
    if (this->confirmed) {
        return;
    }
    const SteadyTime now = this->clock.now();
    this->confirmed = now;
    for (auto &[workspace, entry] : this->counted) {
        entry.bucket.setFilling(now, 1);
    }
}

void QuotaCounter::inform(const std::vector<QuotaLevel> &left)
{
    if (this->isInformed) {
        return;
    }
    this->confirm();
    this->isInformed = true;
    for (const QuotaLevel &entry : left) {
        this->inherited.insert_or_assign(entry.workspace, entry.level);
    }
    // Those that were asked for meanwhile began from less, or more, than there was.
    const SteadyTime now = this->clock.now();
    for (auto &[workspace, entry] : this->counted) {
        const RequestQuota &quota = entry.bucket.quota();
        entry.bucket.add(now, this->inheritedLevel(workspace, quota) - this->marginsOf(quota).takeover);
    }
}

double QuotaCounter::inheritedLevel(const WorkspaceName &workspace, const RequestQuota &quota) const
{
    const auto known = this->inherited.find(workspace);
    return known != this->inherited.end() ? known->second : quota.burst + this->marginsOf(quota).burst;
}

QuotaBucket QuotaCounter::makeBucket(const WorkspaceName &workspace, const RequestQuota &quota) const
{
    const QuotaMargins margins = this->marginsOf(quota);
    if (!this->confirmed) {
        QuotaBucket bucket(this->clock.now(), quota, margins.burst, margins.takeover);
        // Beside one that goes on counting, what is granted here is not replaced before it has left the window.
        bucket.setFilling(this->clock.now(), this->beginning == Beginning::NobodyClaimed ? sharedFilling : 0);
        return bucket;
    }
    // As it would be, had it been made when the duty was taken over.
    const double level = this->isInformed ? this->inheritedLevel(workspace, quota) : margins.takeover;
    return {*this->confirmed, quota, margins.burst, level};
}

QuotaDecision QuotaCounter::take(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version)
{
    auto found = this->counted.find(workspace);
    if (found == this->counted.end()) {
        found = this->counted.emplace(workspace, Counted{this->makeBucket(workspace, quota), version}).first;
    }
    Counted &entry = found->second;
    if (version > entry.version) {
        entry.bucket.setQuota(this->clock.now(), quota, this->marginsOf(quota).burst);
        entry.version = version;
    }
    const std::optional<std::chrono::milliseconds> retryAfter = entry.bucket.take(this->clock.now());
    if (!retryAfter) {
        entry.granted = this->clock.now();
    }
    return retryAfter ? QuotaDecision{QuotaDecision::Kind::OverLimit, *retryAfter} : QuotaDecision{};
}

std::vector<QuotaLevel> QuotaCounter::levels() const
{
    const SteadyTime now = this->clock.now();
    std::vector<QuotaLevel> levels;
    for (const auto &[workspace, entry] : this->counted) {
        if (!entry.bucket.isFull(now)) {
            levels.push_back({workspace, entry.bucket.level(now)});
        }
    }
    return levels;
}

void QuotaCounter::forgetUnused()
{
    const SteadyTime now = this->clock.now();
    if (!this->confirmed) {
        std::erase_if(this->counted, [this, now](const auto &entry) {
            return now - entry.second.granted > this->bounds.window;
        });
    } else if (now - *this->confirmed > this->bounds.window) {
        this->isInformed = true;
        this->inherited.clear();
        std::erase_if(this->counted, [now](const auto &entry) {
            return entry.second.bucket.isFull(now);
        });
    }
}

std::size_t QuotaCounter::size() const
{
    return this->counted.size();
}

} // namespace Dogwoodkeel
