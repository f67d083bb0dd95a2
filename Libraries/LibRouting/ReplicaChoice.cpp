#include <LibRouting/ReplicaChoice.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

constexpr double remotePenalty = 0.05;
constexpr double failurePenalty = 0.5;

double score(const Replica &replica, const ChoiceWish &wish)
{
    double cost = (replica.inFlight + 1.0) / std::max<double>(replica.capacity, 1.0);
    cost += failurePenalty * std::min(replica.failuresInARow, std::uint32_t(4));
    if (replica.failureDomain != wish.ownDomain) {
        cost += remotePenalty;
    }
    return cost;
}

std::vector<Replica *> eligible(const std::vector<Replica *> &candidates, const ChoiceWish &wish)
{
    std::vector<Replica *> fresh;
    for (Replica *const replica : candidates) {
        const bool wasTried = std::ranges::find(wish.avoid, replica->name) != wish.avoid.end();
        if (!replica->isLeaving && !wasTried) {
            fresh.push_back(replica);
        }
    }
    std::vector<Replica *> elsewhere;
    std::ranges::copy_if(fresh, std::back_inserter(elsewhere), [&wish](const Replica *replica) {
        return replica->failureDomain != wish.avoidDomain;
    });
    return elsewhere.empty() ? fresh : elsewhere;
}

} // namespace

Replica *chooseReplica(const std::vector<Replica *> &candidates, const ChoiceWish &wish, std::mt19937_64 &random)
{
    const std::vector<Replica *> open = eligible(candidates, wish);
    if (open.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> draw(0, open.size() - 1);
    Replica *const first = open[draw(random)];
    Replica *const second = open[draw(random)];
    return score(*first, wish) <= score(*second, wish) ? first : second;
}

} // namespace Dogwoodkeel
