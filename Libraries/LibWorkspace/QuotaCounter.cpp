#include <LibWorkspace/QuotaCounter.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Fraction granted while there is no claim, because two counters may then count at the same time for a moment. */
constexpr double unclaimedShare = 0.5;
/** A counter in contact with at most minShare of the fleet grants nothing, with at least fullShare the whole quotas; the fraction
 * grows linearly in between. */
constexpr double minShare = 0.45;
constexpr double fullShare = 0.6;

// The fractions of two counters in a partitioned fleet add up to at most one, and to less if the two halves are of the same size:
// there an error of the estimated share changes the fraction most.
double fractionOf(double share)
{
    return std::clamp((share - minShare) / (fullShare - minShare), 0.0, 1.0);
}

} // namespace

QuotaCounter::QuotaCounter(const Clock &clock, const QuotaBounds &bounds, StartReason startReason)
    : clock(clock), bounds(bounds), startReason(startReason)
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
    this->confirmed = this->clock.now();
    this->filledUntil = *this->confirmed;
    this->applyFraction();
}

void QuotaCounter::setShare(double share)
{
    const double granted = fractionOf(share);
    if (this->fraction == granted) {
        return;
    }
    this->filledBefore = this->filledSeconds();
    this->filledUntil = this->clock.now();
    this->fraction = granted;
    this->applyFraction();
}

double QuotaCounter::grantedFraction() const
{
    if (!this->confirmed) {
        // If another counter still counts, tokens granted here must not refill before they have left the window.
        return this->startReason == StartReason::NoClaim ? unclaimedShare : 0;
    }
    // A counter that replaces an unresponsive one may itself be on the partitioned side.
    const double assumed = this->startReason == StartReason::CoordinatorUnresponsive && !this->isHistoryKnown ? 0 : 1;
    return this->fraction.value_or(assumed);
}

void QuotaCounter::applyFraction()
{
    const SteadyTime now = this->clock.now();
    for (auto &[workspace, entry] : this->entries) {
        entry.bucket.setShare(now, this->grantedFraction());
    }
}

double QuotaCounter::filledSeconds() const
{
    if (!this->confirmed) {
        return 0;
    }
    const std::chrono::duration<double> passed = this->clock.now() - this->filledUntil;
    return this->filledBefore + passed.count() * this->grantedFraction();
}

void QuotaCounter::restoreLevels(const std::vector<QuotaLevel> &left)
{
    if (this->isHistoryKnown) {
        return;
    }
    this->confirm();
    this->filledBefore = this->filledSeconds();
    this->filledUntil = this->clock.now();
    this->isHistoryKnown = true;
    this->applyFraction();
    for (const QuotaLevel &entry : left) {
        this->inherited.insert_or_assign(entry.workspace, entry.level);
    }
    // Buckets created before the handover started from the assumed level; corrects them by the difference.
    const SteadyTime now = this->clock.now();
    for (auto &[workspace, entry] : this->entries) {
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
    const bool isInherited = this->confirmed && this->isHistoryKnown;
    // The level that the bucket would have now if it had been created at the takeover.
    const double level
        = (isInherited ? this->inheritedLevel(workspace, quota) : margins.takeover) + quota.perSecond * this->filledSeconds();
    QuotaBucket bucket(this->clock.now(), quota, margins.burst, level);
    bucket.setShare(this->clock.now(), this->grantedFraction());
    return bucket;
}

QuotaDecision QuotaCounter::tryAcquire(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version)
{
    auto found = this->entries.find(workspace);
    if (found == this->entries.end()) {
        found = this->entries.emplace(workspace, Entry{this->makeBucket(workspace, quota), version}).first;
    }
    Entry &entry = found->second;
    if (version > entry.version) {
        entry.bucket.setQuota(this->clock.now(), quota, this->marginsOf(quota).burst);
        entry.version = version;
    }
    const std::optional<std::chrono::milliseconds> retryAfter = entry.bucket.tryAcquire(this->clock.now());
    if (!retryAfter) {
        entry.granted = this->clock.now();
    }
    return retryAfter ? QuotaDecision{QuotaDecision::Kind::OverLimit, *retryAfter} : QuotaDecision{};
}

std::vector<QuotaLevel> QuotaCounter::levels() const
{
    const SteadyTime now = this->clock.now();
    std::vector<QuotaLevel> levels;
    for (const auto &[workspace, entry] : this->entries) {
        if (!entry.bucket.isFull(now)) {
            levels.push_back({workspace, entry.bucket.level(now)});
        }
    }
    return levels;
}

void QuotaCounter::removeUnused()
{
    const SteadyTime now = this->clock.now();
    if (!this->confirmed) {
        std::erase_if(this->entries, [this, now](const auto &entry) {
            return now - entry.second.granted > this->bounds.window;
        });
    } else if (now - *this->confirmed > this->bounds.window) {
        this->isHistoryKnown = true;
        this->inherited.clear();
        std::erase_if(this->entries, [now](const auto &entry) {
            return entry.second.bucket.isFull(now);
        });
    }
}

std::size_t QuotaCounter::size() const
{
    return this->entries.size();
}

} // namespace Dogwoodkeel
