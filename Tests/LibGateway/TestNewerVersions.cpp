#include <LibGateway/NewerVersions.h>

#include <LibBase/ManualClock.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds step{100};

} // namespace

TEST_CASE("a node is not behind while no other has a newer version")
{
    ManualClock clock;
    NewerVersions versions(clock);
    versions.update(3, 3);
    clock.advance(step);
    versions.update(3, 2);
    clock.advance(step);
    CHECK(versions.behindFor() == std::chrono::milliseconds(0));
}

TEST_CASE("the time behind ends with the version that was missing")
{
    ManualClock clock;
    NewerVersions versions(clock);
    versions.update(3, 4);
    clock.advance(step);
    versions.update(3, 5);
    clock.advance(step);
    CHECK(versions.behindFor() == 2 * step);
    versions.update(4, 5);
    CHECK(versions.behindFor() == step);
    versions.update(5, 5);
    CHECK(versions.behindFor() == std::chrono::milliseconds(0));
}

// Guards against an intermediate version that hides for how long the newest one has been missing.
TEST_CASE("an intermediate version does not end the time behind")
{
    ManualClock clock;
    NewerVersions versions(clock);
    versions.update(3, 9);
    clock.advance(step);
    versions.update(8, 9);
    CHECK(versions.behindFor() == step);
}

TEST_CASE("the time behind goes on if the node with the newest version departs")
{
    ManualClock clock;
    NewerVersions versions(clock);
    versions.update(3, 9);
    clock.advance(step);
    versions.update(3, 4);
    CHECK(versions.behindFor() == step);
    versions.update(3, 3);
    CHECK(versions.behindFor() == std::chrono::milliseconds(0));
}
