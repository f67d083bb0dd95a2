#pragma once

#include <LibWorkspace/KeyDigest.h>
#include <LibWorkspace/Workspace.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/** The workspaces of one configuration and their keys. */
class WorkspaceDirectory
{
public:
    /**
     * Adds a workspace.
     * @param keys digests of its API keys
     * @return number of keys that belong to a workspace added earlier; these keys stay with that workspace
     */
    std::size_t add(const Workspace &workspace, const std::vector<KeyDigest> &keys);

    /** @return the workspace that a key belongs to, or null. */
    const Workspace *findByKey(const KeyDigest &key) const;

    /** @return the workspace of that name, or null. */
    const Workspace *find(const WorkspaceName &name) const;

    /**
     * @return the weight of a workspace when slots are shared: the rate of its quota, or the mean rate of the quotas if it has
     * none
     */
    double shareWeight(const Workspace &workspace) const;

    /** @return number of workspaces. */
    std::size_t size() const;

    const std::vector<Workspace> &workspaces() const;

private:
    std::vector<Workspace> list;
    std::unordered_map<KeyDigest, std::uint32_t> byKey;
    std::unordered_map<WorkspaceName, std::uint32_t> byName;
    double quotaSum = 0;
    std::size_t quotaCount = 0;
};

} // namespace Dogwoodkeel
