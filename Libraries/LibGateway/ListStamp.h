#pragma once

#include <LibPlatform/Outcomes.h>

#include <chrono>

namespace Dogwoodkeel
{

/** How recent a node's list of replicas is. */
struct ListStamp
{
    /** The version of the store's table up to which the list holds all changes; 0: unknown. */
    RowVersion version = 0;
    /** Time since the list was last confirmed by the store. */
    std::chrono::milliseconds age{0};
};

/** @return whether the list of another node is more recent than the own one and replaces it. */
bool isMoreRecent(const ListStamp &received, const ListStamp &own);

} // namespace Dogwoodkeel
