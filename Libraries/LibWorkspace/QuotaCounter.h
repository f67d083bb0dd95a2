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

/** What is left of a workspace's quota at a counter that gives its duty up. */
struct QuotaLevel
{
    WorkspaceName workspace;
    double level = 0;
};

/**
 * Counts the requests of workspaces for all nodes. One at a time has the duty by a claim. Its memory is soft: one that takes the
 * duty over without being told what is left assumes that all was used.
 */
class QuotaCounter
{
public:
    /** How a counter comes to count before it has a claim. */
    enum class StartReason {
        /** Nobody has told of a claim: all nodes have most likely just started, and views of them differ for a moment. */
        NoClaim,
        /** The one with the claim does not answer; it may count on for others. */
        CoordinatorUnresponsive,
    };

    QuotaCounter(const Clock &clock, const QuotaBounds &bounds, StartReason startReason);

    /** This counter has the duty by a claim from now on. */
    void confirm();

    /**
     * @param share of the fleet with which its node is in contact. Another part of a fleet that is cut in two has a counter of
     * its own, so each grants only its share of the quotas.
     */
    void setShare(double share);

    /** The one that had the duty before tells what it left. Those that are not listed are whole. */
    void restoreLevels(const std::vector<QuotaLevel> &left);

    /**
     * @param version of the configuration that the quota stands in; an older one than is known changes nothing
     * @return whether one more request of the workspace may run
     */
    QuotaDecision tryAcquire(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version);

    /** @return what is left of the quotas that are used. Those that are not listed are whole. */
    std::vector<QuotaLevel> levels() const;

    /** Drop what tells no more than a new counter would know. */
    void removeUnused();

    /** @return workspaces that are entries. */
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
    /** Since when it has the duty by a claim. */
    std::optional<SteadyTime> confirmed;
    /** Of the quotas, by the share of the fleet in contact; nothing until it is known. */
    std::optional<double> fraction;
    /** Seconds, weighed by that part, in which quotas have filled since it had the duty; up to when they are summed up. */
    double filledBefore = 0;
    SteadyTime filledUntil{};
    /** Whether what was granted before it had the duty is known, or too long ago to count. */
    bool isHistoryKnown = false;
    /** What the one before told. */
    std::unordered_map<WorkspaceName, double> inherited;
    std::unordered_map<WorkspaceName, Entry> entries;
};

} // namespace Dogwoodkeel
