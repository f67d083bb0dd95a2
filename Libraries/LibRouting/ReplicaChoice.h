#pragma once

#include <LibFleet/Replica.h>

#include <random>
#include <vector>

namespace Dogwoodkeel
{

/** What a choice of a replica has to respect. */
struct ChoiceWish
{
    /** Where the choosing node is: a replica there is a little better. */
    FailureDomain ownDomain;
    /** Replicas already tried for this request. */
    std::vector<EndpointName> avoid;
    /** The failure domain that just failed it: used only if no other can serve. */
    FailureDomain avoidDomain;
};

/**
 * Choose a replica: the better of two drawn at random (Mitzenmacher, 2001), among the best eligible ones.
 * @param candidates replicas of the wanted model or service
 * @param wish what to respect
 * @param random source of the draws
 * @return the choice, or null if no replica is eligible
 */
Replica *chooseReplica(const std::vector<Replica *> &candidates, const ChoiceWish &wish, std::mt19937_64 &random);

} // namespace Dogwoodkeel
