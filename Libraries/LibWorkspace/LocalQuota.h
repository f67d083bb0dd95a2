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
 * Decides requests on a node that reaches no counter. All such nodes together may grant only a small part of the quota of a
 * window, mostly fewer requests than there are nodes. Therefore whole requests are assigned to nodes by a hash of the workspace
 * name, and most nodes get none.
 */
class LocalQuota
{
public:
    LocalQuota(const Clock &clock, const QuotaBounds &bounds);

    /**
     * Sets the nodes that share the quota. To be called only while this node is connected to the others: a partitioned node
     * sees the others leave, and must not grant their shares.
     * @param position index of this node in an order that is the same on all nodes
     * @param count number of nodes
     */
    void setNodes(std::size_t position, std::size_t count);

    /** Counts one request if it may run. @return whether it may */
    bool tryAcquire(const WorkspaceName &workspace, const RequestQuota &quota);

private:
    std::uint64_t share(const WorkspaceName &workspace, const RequestQuota &quota) const;

    const Clock &clock;
    QuotaBounds bounds;
    std::size_t position = 0;
    /** 0: not known yet, so this node grants nothing. */
    std::size_t count = 0;
    /** Times of the requests that were granted within the last window. */
    std::unordered_map<WorkspaceName, std::deque<SteadyTime>> granted;
};

} // namespace Dogwoodkeel
