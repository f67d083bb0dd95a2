#pragma once

#include <LibSettings/Generated/Settings.h>

namespace Dogwoodkeel
{

/** What a dispatcher does beyond counting slots. */
struct DispatcherOptions
{
    CapacityLearning capacityLearning = CapacityLearning::Stated;
    /** Whether workspaces get fair shares of the slots while there are too few. */
    bool hasWorkspaceShares = true;
};

} // namespace Dogwoodkeel
