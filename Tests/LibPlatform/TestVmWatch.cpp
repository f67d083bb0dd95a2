#include <LibBase/ManualClock.h>
#include <LibPlatform/VmWatch.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** VM list set by the test; empty optional while the platform is down. */
struct FakeVmList final : VmList
{
    std::optional<std::vector<ListedVm>> listed;

    void fetch(Fetched done) override
    {
        done(this->listed);
    }
};

} // namespace

TEST_CASE("a VM that was listed as leaving stays so while the platform is down")
{
    // Guards against requests that are cut off on an endpoint known to be leaving. If a failed read counted as an empty list, the
    // VM's state would be lost, and it would be sent new work.
    ManualClock clock;
    FakeVmList list;
    ListedVmsPointer reported;
    std::size_t changes = 0;
    VmWatch watch(list, clock, [&](const ListedVmsPointer &vms) {
        reported = vms;
        ++changes;
    });
    watch.start(1s);
    CHECK(changes == 0);
    list.listed = std::vector<ListedVm>{{VmName("engine-1"), true}};
    clock.advance(1s);
    REQUIRE(reported);
    CHECK(reported->front().isLeaving);
    list.listed.reset();
    clock.advance(5s);
    CHECK(changes == 1);
    list.listed = std::vector<ListedVm>{{VmName("engine-1"), true}};
    clock.advance(5s);
    CHECK(changes == 1);
    list.listed->push_back({VmName("engine-2"), false});
    clock.advance(1s);
    CHECK(changes == 2);
}
