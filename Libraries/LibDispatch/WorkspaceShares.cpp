#include <LibDispatch/WorkspaceShares.h>

#include <algorithm>

namespace Dogwoodkeel
{

double WorkspaceShares::add(const WorkspaceName &workspace, double cost, double weight, bool isReserved)
{
    const auto [found, isNew] = this->accounts.try_emplace(workspace);
    Account &account = found->second;
    if (account.waiting++ == 0) {
        this->idle.erase({account.finishTag, workspace});
        account.weight = weight;
        this->waitingWeight += weight;
        ++this->waitingWorkspaces;
    }
    const double startTag = isNew ? this->virtualTime : std::max(this->virtualTime, account.finishTag);
    account.finishTag = startTag + cost / weight;
    return isReserved ? this->virtualTime : startTag;
}

void WorkspaceShares::recordService(const WorkspaceName &workspace, double startTag)
{
    this->virtualTime = std::max(this->virtualTime, startTag);
    this->removeWaiting(workspace);
    this->removeSettled();
}

void WorkspaceShares::withdraw(const WorkspaceName &workspace, double cost, double weight)
{
    this->removeWaiting(workspace);
    this->charge(workspace, -cost, weight);
}

void WorkspaceShares::charge(const WorkspaceName &workspace, double cost, double weight)
{
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
        return;
    }
    Account &account = found->second;
    const bool isIdle = this->idle.erase({account.finishTag, workspace}) > 0;
    account.finishTag += cost / weight;
    if (isIdle) {
        this->idle.emplace(account.finishTag, workspace);
    }
    this->removeSettled();
}

double WorkspaceShares::debtOf(double startTag) const
{
    return std::max(startTag - this->virtualTime, 0.0);
}

double WorkspaceShares::workAhead(double startTag) const
{
    return this->debtOf(startTag) * this->waitingWeight;
}

bool WorkspaceShares::isContended() const
{
    return this->waitingWorkspaces > 1;
}

double WorkspaceShares::shareOf(const WorkspaceName &workspace, double weight) const
{
    const auto found = this->accounts.find(workspace);
    const bool isWaiting = found != this->accounts.end() && found->second.waiting > 0;
    const double others = this->waitingWeight - (isWaiting ? found->second.weight : 0);
    return others > 0 && weight > 0 ? weight / (others + weight) : 1;
}

std::size_t WorkspaceShares::size() const
{
    return this->accounts.size();
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
}

void WorkspaceShares::removeSettled()
{
    while (!this->idle.empty() && this->idle.begin()->first <= this->virtualTime) {
        this->accounts.erase(this->idle.begin()->second);
        this->idle.erase(this->idle.begin());
    }
}

} // namespace Dogwoodkeel
