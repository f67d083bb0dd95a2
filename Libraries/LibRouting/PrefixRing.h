#pragma once

#include <LibFleet/Replica.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Assigns prompt prefixes to replicas by consistent hashing. Each replica has several points on the ring, so that the
 * prefixes of a lost replica are distributed over all others. All nodes compute the same ring and so agree without
 * communication. A lookup costs a binary search.
 */
class PrefixRing
{
public:
    explicit PrefixRing(const std::vector<Replica *> &pool);

    /**
     * Visits the replicas of a prefix in ring order.
     * @param visit called for each replica; returning true ends the walk
     * @param maxPoints maximum number of points to check
     * @return the replica that ended the walk, or null
     */
    template <typename Visit>
    Replica *walk(std::uint64_t prefix, std::size_t maxPoints, const Visit &visit) const
    {
        std::size_t position = this->firstPointAtOrAfter(prefix);
        Replica *last = nullptr;
        for (std::size_t checked = 0; checked < maxPoints && checked < this->points.size(); ++checked) {
            Replica *const replica = this->points[position].second;
            position = (position + 1) % this->points.size();
            if (replica == last) {
                continue;
            }
            last = replica;
            if (visit(*replica)) {
                return replica;
            }
        }
        return nullptr;
    }

private:
    std::size_t firstPointAtOrAfter(std::uint64_t prefix) const;

    std::vector<std::pair<std::uint64_t, Replica *>> points;
};

} // namespace Dogwoodkeel
