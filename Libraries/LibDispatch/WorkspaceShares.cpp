#include <LibDispatch/WorkspaceShares.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** Fewer runs say little about the share that a workspace gets. */
constexpr std::size_t minRunsForShare = 8;
/** At this number of runs the older half is forgotten, so that the share follows the load. */
constexpr std::size_t maxRunsForShare = 64;
/**
 * Mean requests that a workspace of at most the mean weight may get ahead of its share; larger ones get more, in proportion.
 * With the same work for all, 1.7% more of the requests were late in bursts of 1.1 times the capacity.
 */
constexpr double burstRequests = 4;
/** Weight of one request in the mean cost. */
constexpr double costWeight = 0.02;

} // namespace

WorkspaceShares::Account &WorkspaceShares::accountOf(const WorkspaceName &workspace, double weight)
{
    const auto [found, isNew] = this->accounts.try_emplace(workspace);
    Account &account = found->second;
    if (isNew) {
        account.finishTag = this->virtualTime;
        account.weight = weight;
        account.servedSince = this->totalServed;
        this->activeWeight += weight;
    }
    return account;
}

void WorkspaceShares::addWaiting(const WorkspaceName &workspace, double weight)
{
    Account &account = this->accountOf(workspace, weight);
    if (account.waiting++ == 0) {
        this->idle.erase({account.finishTag, workspace});
        // A new configuration may have changed the weight.
        this->activeWeight += weight - account.weight;
        account.weight = weight;
        this->waitingWeight += weight;
        ++this->waitingWorkspaces;
    }
}

void WorkspaceShares::removeWaiting(const WorkspaceName &workspace)
{
    Account &account = this->accounts.at(workspace);
    if (--account.waiting > 0) {
        return;
    }
    this->idle.emplace(account.finishTag, workspace);
    --this->waitingWorkspaces;
    // Starts from zero again, or rounding errors would remain.
    this->waitingWeight = this->waitingWorkspaces == 0 ? 0 : this->waitingWeight - account.weight;
    this->removeSettled();
}

double WorkspaceShares::currentTag() const
{
    return this->virtualTime;
}

double WorkspaceShares::startTag(const WorkspaceName &workspace, double arrivedTag, double ahead) const
{
    return std::max(arrivedTag, this->coveredTag(this->accounts.at(workspace), ahead));
}

double WorkspaceShares::coveredTag(const Account &account, double ahead) const
{
    const double finishTag = std::max(account.finishTag, this->virtualTime) + ahead / account.weight;
    const double weight = std::min(account.weight, this->activeWeight / static_cast<double>(this->accounts.size()));
    return finishTag - burstRequests * this->meanCost / weight;
}

void WorkspaceShares::recordService(const WorkspaceName &workspace, double startTag, double cost)
{
    Account &account = this->accounts.at(workspace);
    account.finishTag = std::max(account.finishTag, this->virtualTime) + cost / account.weight;
    this->virtualTime = std::max(this->virtualTime + cost / this->activeWeight, startTag);
    this->meanCost += (this->meanCost == 0 ? 1 : costWeight) * (cost - this->meanCost);
    this->totalServed += cost;
    account.served += cost;
    if (++account.runs >= maxRunsForShare) {
        account.runs /= 2;
        account.served /= 2;
        account.servedSince = (account.servedSince + this->totalServed) / 2;
    }
    this->removeWaiting(workspace);
    this->removeSettled();
}

void WorkspaceShares::correct(const WorkspaceName &workspace, double weight, double startTag, double cost, double realCost)
{
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
        // Its debt is worked off unless this run alone took more than its share allowed since it was placed.
        const double finishTag = startTag + realCost / weight;
        if (realCost > cost && finishTag > this->virtualTime) {
            this->accountOf(workspace, weight).finishTag = finishTag;
            this->idle.emplace(finishTag, workspace);
        }
        return;
    }
    Account &account = found->second;
    const bool isIdle = this->idle.erase({account.finishTag, workspace}) > 0;
    account.finishTag += (realCost - cost) / account.weight;
    if (isIdle) {
        this->idle.emplace(account.finishTag, workspace);
    }
    this->removeSettled();
}

double WorkspaceShares::debtOf(const WorkspaceName &workspace, double ahead) const
{
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
        return 0;
    }
    return std::max(this->coveredTag(found->second, ahead) - this->virtualTime, 0.0) * found->second.weight;
}

bool WorkspaceShares::isContended(const WorkspaceName &workspace) const
{
    return this->accounts.size() > (this->accounts.contains(workspace) ? 1U : 0U);
}

double WorkspaceShares::shareOf(const WorkspaceName &workspace, double weight) const
{
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
        return weight / (this->activeWeight + weight);
    }
    const Account &account = found->second;
    const double byWeight = std::min(account.weight / this->activeWeight, 1.0);
    const double total = this->totalServed - account.servedSince;
    return account.runs < minRunsForShare || total <= 0 ? byWeight : std::clamp(account.served / total, byWeight, 1.0);
}

double WorkspaceShares::meanWeight() const
{
    return this->waitingWorkspaces > 0 ? this->waitingWeight / static_cast<double>(this->waitingWorkspaces) : 1;
}

std::size_t WorkspaceShares::waiting() const
{
    return this->waitingWorkspaces;
}

std::size_t WorkspaceShares::size() const
{
    return this->accounts.size();
}

void WorkspaceShares::removeSettled()
{
    while (!this->idle.empty() && this->idle.begin()->first <= this->virtualTime) {
        const auto settled = this->accounts.find(this->idle.begin()->second);
        this->activeWeight -= settled->second.weight;
        this->accounts.erase(settled);
        this->idle.erase(this->idle.begin());
    }
    if (this->accounts.empty()) {
        this->activeWeight = 0;
    }
}

} // namespace Dogwoodkeel
