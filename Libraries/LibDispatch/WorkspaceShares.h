#pragma once

#include <LibBase/Identifiers.h>

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace Dogwoodkeel
{

/**
 * Shares the slots of a service between workspaces by start-time fair queueing: weighted max-min fairness in proportion to work.
 *
 * Each request gets a start tag, and the one with the lowest tag is served first. A workspace within its share gets the virtual
 * time as tag; one that has requested more than its share gets later tags. Nothing is reserved: a workspace that is alone is
 * served at once, whatever its tags. Workspaces without debt are not kept.
 */
class WorkspaceShares
{
public:
    /**
     * Adds a request that waits, and charges its workspace.
     * @param cost expected work, in the same unit for all requests
     * @param weight of the workspace; positive
     * @param isReserved whether its slot is reserved, so that it is served before the requests of workspaces with debt
     * @return the start tag
     */
    double add(const WorkspaceName &workspace, double cost, double weight, bool isReserved = false);

    /** Removes a request that is placed now. */
    void recordService(const WorkspaceName &workspace, double startTag);

    /** Removes a request that is not placed any more, and takes back its charge. */
    void withdraw(const WorkspaceName &workspace, double cost, double weight);

    /** Charges the difference between the expected and the real work of a request that has ended. */
    void charge(const WorkspaceName &workspace, double cost, double weight);

    /** @return how far a start tag is ahead of the virtual time: 0 for a workspace within its share. */
    double debtOf(double startTag) const;

    /** @return how much work of all workspaces with waiting requests is ahead of a start tag at most. */
    double workAhead(double startTag) const;

    /** @return whether requests of several workspaces wait. */
    bool isContended() const;

    /** @return the share of the slots that a workspace of this weight gets beside the others with waiting requests. */
    double shareOf(const WorkspaceName &workspace, double weight) const;

    /** @return number of workspaces that are kept. */
    std::size_t size() const;

private:
    struct Account
    {
        double finishTag = 0;
        double weight = 1;
        std::size_t waiting = 0;
    };

    void removeWaiting(const WorkspaceName &workspace);
    /** Removes the accounts that have neither debt nor waiting requests. */
    void removeSettled();

    double virtualTime = 0;
    /** Sum over the workspaces with waiting requests. */
    double waitingWeight = 0;
    std::size_t waitingWorkspaces = 0;
    std::unordered_map<WorkspaceName, Account> accounts;
    /** Accounts without waiting requests by finish tag; those up to the virtual time have no debt. */
    std::set<std::pair<double, WorkspaceName>> idle;
};

} // namespace Dogwoodkeel
