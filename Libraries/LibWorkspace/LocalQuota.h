#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibWorkspace/QuotaBounds.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * What a node may grant that reaches no counter. All such nodes together may grant only a small part of a window, mostly fewer
 * requests than there are nodes; so total requests are dealt to nodes by the workspace's name, and most nodes get none.
 */
class LocalQuota
{
public:
    LocalQuota(const Clock &clock, const QuotaBounds &bounds);

    /**
     * The nodes, as long as this one is in touch with them. One that is cut off sees the others vanish, and must not tryAcquire
     * their parts.
     * @param position of this node among them, in an order that is the same for all
     */
    void setNodes(std::size_t position, std::size_t count);

    /** @return whether one more request of the workspace may run. */
    bool tryAcquire(const WorkspaceName &workspace, const RequestQuota &quota);

private:
    std::uint64_t share(const WorkspaceName &workspace, const RequestQuota &quota) const;

    const Clock &clock;
    QuotaBounds bounds;
    std::size_t position = 0;
    /** 0: not known yet, so no part is this node's own. */
    std::size_t count = 0;
    /** When requests were granted within the last window. */
    std::unordered_map<WorkspaceName, std::deque<SteadyTime>> granted;
};

} // namespace Dogwoodkeel
