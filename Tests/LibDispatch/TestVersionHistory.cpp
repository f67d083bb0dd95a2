#include <LibBase/ManualClock.h>
#include <LibDispatch/VersionHistory.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

const SoftwareVersion oldVersion("v1");
const SoftwareVersion newVersion("v2");
constexpr std::chrono::seconds period{5};
constexpr std::chrono::milliseconds moment{1};

} // namespace

// A stream of unknown origin may have begun at any version that served since; also at one whose last replica is gone by now.
TEST_CASE("a version is the sole one only while no other one has served for the whole period")
{
    ManualClock clock;
    VersionHistory versions(clock);
    versions.add(oldVersion);
    versions.add(oldVersion);
    clock.advance(period);
    CHECK(versions.sole(period) == oldVersion);
    versions.add(newVersion);
    CHECK_FALSE(versions.sole(period));
    versions.remove(oldVersion);
    versions.remove(oldVersion);
    clock.advance(period);
    CHECK_FALSE(versions.sole(period));
    clock.advance(moment);
    CHECK(versions.sole(period) == newVersion);
}

// A node that has just started has not seen what served before.
TEST_CASE("nothing is known of the time before the history began, nor while there are no replicas")
{
    ManualClock clock;
    VersionHistory versions(clock);
    versions.add(oldVersion);
    clock.advance(period - moment);
    CHECK_FALSE(versions.sole(period));
    clock.advance(moment);
    CHECK(versions.sole(period) == oldVersion);
    versions.remove(oldVersion);
    clock.advance(period + moment);
    CHECK_FALSE(versions.sole(period));
}

TEST_CASE("versions that have gone are forgotten, and no longer period can be answered for")
{
    ManualClock clock;
    VersionHistory versions(clock);
    versions.add(oldVersion);
    versions.remove(oldVersion);
    clock.advance(std::chrono::hours(1));
    versions.add(newVersion);
    CHECK(versions.sole(period) == newVersion);
    CHECK_FALSE(versions.sole(std::chrono::hours(1)));
}
