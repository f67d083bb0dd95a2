#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibWorkspace/QuotaBucket.h>
#include <LibWorkspace/QuotaDecision.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Remaining quota of a workspace, handed over by a counter that gives up its role. */
struct QuotaLevel
{
    WorkspaceName workspace;
    double level = 0;
};

/**
 * Counts the requests of workspaces for all nodes. At most one counter at a time has the role by a claim. Its state is kept in
 * memory only: a counter that takes over without a handover assumes that the quotas are used up.
 */
class QuotaCounter
{
public:
    /** Why a counter starts before it has a claim. */
    enum class StartReason {
        /** No claim is known: most likely all nodes have just started, and their views differ for a moment. */
        NoClaim,
        /** The coordinator does not answer here; it may still count for other nodes. */
        CoordinatorUnresponsive,
    };

    QuotaCounter(const Clock &clock, const QuotaBounds &bounds, StartReason startReason);

    /** Records that this counter has the role by a claim from now on. */
    void confirm();

    /**
     * Sets the fraction of the quotas that is granted here. In a partitioned fleet each part has a counter, so each one grants
     * only its share.
     * @param share fraction of the fleet that the node of this counter is in contact with
     */
    void setShare(double share);

    /** Applies the handover of the previous counter. Quotas that are not listed are unused. */
    void restoreLevels(const std::vector<QuotaLevel> &left);

    /**
     * Counts one request if it may run.
     * @param version version of the configuration that defines the quota; a version older than the known one changes nothing
     * @return whether the request may run
     */
    QuotaDecision tryAcquire(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version);

    /** @return remaining quotas of the workspaces in use, for a handover. Quotas that are not listed are unused. */
    std::vector<QuotaLevel> levels() const;

    /** Removes entries whose state equals that of a new entry. */
    void removeUnused();

    /** @return number of workspaces with an entry. */
    std::size_t size() const;

private:
    struct Entry
    {
        QuotaBucket bucket;
        std::uint64_t version = 0;
        SteadyTime granted{};
    };

    double grantedFraction() const;
    void applyFraction();
    double filledSeconds() const;
    QuotaBucket makeBucket(const WorkspaceName &workspace, const RequestQuota &quota) const;
    double inheritedLevel(const WorkspaceName &workspace, const RequestQuota &quota) const;
    QuotaMargins marginsOf(const RequestQuota &quota) const;

    const Clock &clock;
    QuotaBounds bounds;
    StartReason startReason;
    /** Since when it has the role by a claim. */
    std::optional<SteadyTime> confirmed;
    /** Fraction of the quotas that is granted here, by the share of the fleet in contact; empty until that is known. */
    std::optional<double> fraction;
    /** Seconds, weighted by that fraction, in which quotas have filled since the claim, summed up until filledUntil. */
    double filledBefore = 0;
    SteadyTime filledUntil{};
    /** Whether the requests granted before the claim are known, or too old to count. */
    bool isHistoryKnown = false;
    /** Levels from the handover of the previous counter. */
    std::unordered_map<WorkspaceName, double> inherited;
    std::unordered_map<WorkspaceName, Entry> entries;
};

} // namespace Dogwoodkeel
