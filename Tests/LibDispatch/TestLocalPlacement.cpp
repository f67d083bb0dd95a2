#include <LibBase/ManualClock.h>
#include <LibDispatch/LocalPlacement.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// The dispatcher does not answer, and the request has failed at both replicas of its service once.
TEST_CASE("a replica that failed a request is selected without a dispatcher if there is no other")
{
    ManualClock clock;
    LocalPlacement placement(clock, 1);
    std::vector<DispatchReplica> replicas = equalReplicas(2, 2);
    placement.setReplicas(replicas);
    PlacementTraits request;
    request.avoided = {replicas[0].instance};
    for (int attempt = 0; attempt < 20; ++attempt) {
        CHECK(placement.select(FailureDomain("z"), request) == replicas[1].instance);
    }
    request.avoided.push_back(replicas[1].instance);
    CHECK(placement.select(FailureDomain("z"), request).has_value());
    placement.begin(replicas[0].instance);
    placement.end(replicas[0].instance, PlacementVerdict::Unreachable);
    CHECK(placement.select(FailureDomain("z"), request) == replicas[1].instance);
    placement.begin(replicas[1].instance);
    placement.end(replicas[1].instance, PlacementVerdict::Unreachable);
    CHECK_FALSE(placement.select(FailureDomain("z"), request).has_value());
    clock.advance(std::chrono::seconds(2));
    replicas[0].isDraining = true;
    placement.setReplicas(replicas);
    CHECK(placement.select(FailureDomain("z"), request) == replicas[1].instance);
}
