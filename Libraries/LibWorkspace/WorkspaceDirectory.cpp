#include <LibWorkspace/WorkspaceDirectory.h>

namespace Dogwoodkeel
{

std::size_t WorkspaceDirectory::add(const Workspace &workspace, const std::vector<KeyDigest> &keys)
{
    const auto [known, isNew] = this->byName.try_emplace(workspace.name, static_cast<std::uint32_t>(this->list.size()));
    if (isNew) {
        this->list.push_back(workspace);
        this->quotaSum += workspace.quota.perSecond;
        this->quotaCount += workspace.quota.perSecond > 0 ? 1 : 0;
    }
    std::size_t duplicates = 0;
    for (const KeyDigest &key : keys) {
        const auto [owner, isFree] = this->byKey.try_emplace(key, known->second);
        duplicates += !isFree && owner->second != known->second ? 1 : 0;
    }
    return duplicates;
}

const Workspace *WorkspaceDirectory::findByKey(const KeyDigest &key) const
{
    const auto found = this->byKey.find(key);
    return found != this->byKey.end() ? &this->list[found->second] : nullptr;
}

const Workspace *WorkspaceDirectory::find(const WorkspaceName &name) const
{
    const auto found = this->byName.find(name);
    return found != this->byName.end() ? &this->list[found->second] : nullptr;
}

double WorkspaceDirectory::shareWeight(const Workspace &workspace) const
{
    if (workspace.quota.perSecond > 0) {
        return workspace.quota.perSecond;
    }
    return this->quotaCount > 0 ? this->quotaSum / static_cast<double>(this->quotaCount) : 1;
}

std::size_t WorkspaceDirectory::size() const
{
    return this->list.size();
}

const std::vector<Workspace> &WorkspaceDirectory::workspaces() const
{
    return this->list;
}

} // namespace Dogwoodkeel
