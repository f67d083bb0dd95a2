#pragma once

#include <LibFleet/Replica.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Which replicas a prompt prefix belongs to, in order: consistent hashing on a ring, each replica with several points,
 * so that the prefixes of a lost replica spread over all the others. Every node has the same ring, so they agree
 * without talking, and a look-up does not depend on the number of replicas but for a binary search.
 */
class PrefixRing
{
public:
    explicit PrefixRing(const std::vector<Replica *> &pool);

    /**
     * Walk the replicas of a prefix in order.
     * @param visit told of each; ends the walk by returning true
     * @param most how many different points to look at
     * @return the replica that ended the walk, or null
     */
    template <typename Visit>
    Replica *walk(std::uint64_t prefix, std::size_t most, const Visit &visit) const
    {
        std::size_t place = this->firstBehind(prefix);
        Replica *last = nullptr;
        for (std::size_t seen = 0; seen < most && seen < this->points.size(); ++seen) {
            Replica *const replica = this->points[place].second;
            place = (place + 1) % this->points.size();
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
    std::size_t firstBehind(std::uint64_t prefix) const;

    std::vector<std::pair<std::uint64_t, Replica *>> points;
};

} // namespace Dogwoodkeel
