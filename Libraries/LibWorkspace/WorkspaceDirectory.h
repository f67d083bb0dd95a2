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
     * @param keys digests of its API keys
     * @return how many of the keys belong to a workspace that was added before; they stay with it
     */
    std::size_t add(const Workspace &workspace, const std::vector<KeyDigest> &keys);

    /** @return whose key it is, or null if no workspace has it. */
    const Workspace *findByKey(const KeyDigest &key) const;

    /** @return the workspace of that name, or null. */
    const Workspace *find(const WorkspaceName &name) const;

    /** @return how many workspaces there are. */
    std::size_t size() const;

    const std::vector<Workspace> &workspaces() const;

private:
    std::vector<Workspace> list;
    std::unordered_map<KeyDigest, std::uint32_t> byKey;
    std::unordered_map<WorkspaceName, std::uint32_t> byName;
};

} // namespace Dogwoodkeel
