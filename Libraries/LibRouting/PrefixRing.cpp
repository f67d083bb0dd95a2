#include <LibRouting/PrefixRing.h>

#include <LibBase/Hash.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t ringSeed = 3;
constexpr std::uint64_t pointsPerReplica = 32;

} // namespace

PrefixRing::PrefixRing(const std::vector<Replica *> &pool)
{
    this->points.reserve(pool.size() * pointsPerReplica);
    for (Replica *const replica : pool) {
        const std::uint64_t own = stableHash(replica->name.value(), ringSeed);
        for (std::uint64_t point = 0; point < pointsPerReplica; ++point) {
            this->points.emplace_back(rendezvousWeight(own, point), replica);
        }
    }
    std::ranges::sort(this->points);
}

std::size_t PrefixRing::firstPointAtOrAfter(std::uint64_t prefix) const
{
    const auto position = std::ranges::lower_bound(this->points, prefix, {}, &std::pair<std::uint64_t, Replica *>::first);
    return position == this->points.end() ? 0 : static_cast<std::size_t>(position - this->points.begin());
}

} // namespace Dogwoodkeel
