#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>
#include <map>

namespace Dogwoodkeel
{

/**
 * Records since when this node has known that versions newer than its own are in force elsewhere. A node that gets one version
 * after the other, each of them late, is behind all the time, although it never misses the same version for long.
 */
class NewerVersions
{
public:
    explicit NewerVersions(const Clock &clock);

    /**
     * Records the versions that are in force now.
     * @param own the version of this node; 0: none
     * @param newest the newest version of the other nodes
     */
    void update(std::uint64_t own, std::uint64_t newest);

    /** @return the longest time for which a version newer than the own one has been known; 0: none is known. */
    std::chrono::milliseconds behindFor() const;

private:
    const Clock &clock;
    /** When each version was first known to be in force; a newer one never before an older one. */
    std::map<std::uint64_t, SteadyTime> firstKnown;
};

} // namespace Dogwoodkeel
