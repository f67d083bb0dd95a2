#pragma once

#include <LibBase/Identifiers.h>

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace Dogwoodkeel
{

/**
 * Shares the slots of one priority between workspaces by start-time fair queueing: weighted max-min fairness in proportion to
 * work.
 *
 * A workspace is charged when a request of it is placed. The next request to serve is that of the workspace with the lowest
 * tag: the virtual time for a workspace within its share, later for one that got more. Nothing is reserved: a workspace that is
 * alone is served at once, whatever its tag. Each workspace may get a few requests ahead of its share, or the second of two
 * requests of a small workspace would wait for seconds. Workspaces with neither debt nor waiting requests are not kept.
 */
class WorkspaceShares
{
public:
    /**
     * Counts a request that waits.
     * @param weight of the workspace; positive
     */
    void addWaiting(const WorkspaceName &workspace, double weight);

    /** Removes a request that was counted by addWaiting. */
    void removeWaiting(const WorkspaceName &workspace);

    /**
     * @param arrivedTag the virtual time when the request arrived
     * @param ahead work of the workspace that waits and is served before
     * @return the start tag of a request of a workspace with waiting requests, in work per weight
     */
    double startTag(const WorkspaceName &workspace, double arrivedTag, double ahead = 0) const;

    /** @return the virtual time: the start tag of a request that arrives now, if its workspace gets it within its share. */
    double currentTag() const;

    /**
     * Charges the workspace of a request that is placed now, and removes the request. The virtual time advances to its start tag,
     * and at least by what each workspace that is kept would have got of the work; so it advances also while no request waits
     * for its tag, and for items, which are not served by tag.
     * @param startTag the tag by which it was ordered; 0 if it was not
     * @param cost expected work, in the same unit for all requests
     */
    void recordService(const WorkspaceName &workspace, double startTag, double cost);

    /**
     * Corrects the charge of a request that has ended.
     * @param startTag the tag with which it was placed
     * @param cost the work that it was charged
     * @param realCost the work that it took
     */
    void correct(const WorkspaceName &workspace, double weight, double startTag, double cost, double realCost);

    /**
     * @param ahead work of the workspace that waits and is served before
     * @return the work that a workspace has got, after that work, beyond its share and what every workspace may get; 0 if none
     */
    double debtOf(const WorkspaceName &workspace, double ahead = 0) const;

    /** @return whether another workspace has waiting requests or debt, so that this one cannot use all slots. */
    bool isContended(const WorkspaceName &workspace) const;

    /**
     * @return the share of the capacity that a workspace can expect: by its weight among the workspaces that wait or have debt,
     * or what it has got recently if that is more, because others do not use all of theirs
     */
    double shareOf(const WorkspaceName &workspace, double weight) const;

    /** @return the mean weight of the workspaces with waiting requests; 1 if there are none. */
    double meanWeight() const;

    /** @return number of workspaces with waiting requests. */
    std::size_t waiting() const;

    /** @return number of workspaces that are kept. */
    std::size_t size() const;

private:
    struct Account
    {
        /** Virtual time at which its share covers what it got. */
        double finishTag = 0;
        double weight = 1;
        std::size_t waiting = 0;
        /** Number of recent runs, their work, and the work of all workspaces when they began. */
        std::size_t runs = 0;
        double served = 0;
        double servedSince = 0;
    };

    Account &accountOf(const WorkspaceName &workspace, double weight);
    void chargeAccount(const WorkspaceName &workspace, double startTag, double cost);
    /** @return the virtual time at which its share covers what an account got, without what every workspace may get. */
    double coveredTag(const Account &account, double ahead) const;
    /** Removes the accounts that have neither debt nor waiting requests. */
    void removeSettled();

    double virtualTime = 0;
    /** Mean cost of a request. */
    double meanCost = 0;
    /** Work of all workspaces so far. */
    double totalServed = 0;
    /** Sum over the workspaces that are kept. */
    double activeWeight = 0;
    /** Sum over the workspaces with waiting requests. */
    double waitingWeight = 0;
    std::size_t waitingWorkspaces = 0;
    std::unordered_map<WorkspaceName, Account> accounts;
    /** Accounts without waiting requests by finish tag; those up to the virtual time have no debt. */
    std::set<std::pair<double, WorkspaceName>> idle;
};

} // namespace Dogwoodkeel
