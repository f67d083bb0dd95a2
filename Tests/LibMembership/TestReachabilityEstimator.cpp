#include <LibBase/ManualClock.h>
#include <LibMembership/ReachabilityEstimator.h>
#include <LibMembership/RecentMembers.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds tickInterval{20};

Address addressOf(std::size_t number)
{
    return {"n", static_cast<std::uint16_t>(number)};
}

/** A node that probes others, of which some respond. */
class Fixture
{
public:
    explicit Fixture(std::size_t others)
        : estimator(this->clock, 1, [this](const Address &other) {
            ++this->probes;
            if (other.port < this->respondingCount) {
                this->estimator.receive(other);
            }
        })
    {
        std::vector<Address> addresses;
        for (std::size_t number = 0; number < others; ++number) {
            addresses.push_back(addressOf(number));
        }
        this->respondingCount = others;
        this->estimator.setOthers(addresses);
    }

    void run(std::chrono::milliseconds length, ReachabilityEstimator::Pace pace = ReachabilityEstimator::Pace::Fast)
    {
        for (std::chrono::milliseconds passed(0); passed < length; passed += tickInterval) {
            this->estimator.tick(pace);
            this->clock.advance(tickInterval);
        }
    }

    ManualClock clock;
    /** Nodes with lower numbers respond. */
    std::size_t respondingCount = 0;
    std::size_t probes = 0;
    ReachabilityEstimator estimator;
};

Member memberOf(std::uint64_t session, const std::string &vm)
{
    Member member;
    member.session = SessionNumber(session);
    member.vm = VmName(vm);
    member.gossip = addressOf(session);
    return member;
}

} // namespace

TEST_CASE("the reachable share is known before unresponsive nodes are declared dead, and not before their timeout")
{
    for (const std::size_t respondingCount : {std::size_t(58), std::size_t(38), std::size_t(20), std::size_t(0)}) {
        Fixture fixture(58);
        fixture.respondingCount = respondingCount;
        fixture.run(std::chrono::milliseconds(100));
        CHECK_FALSE(fixture.estimator.share());
        fixture.run(std::chrono::milliseconds(400));
        REQUIRE(fixture.estimator.share());
        const double exact = (1 + static_cast<double>(respondingCount)) / 59;
        CHECK(std::abs(*fixture.estimator.share() - exact) < 0.2);
    }
}

TEST_CASE("a partition and its end are detected within half a second")
{
    Fixture fixture(58);
    fixture.run(std::chrono::seconds(2));
    CHECK(*fixture.estimator.share() == 1);
    fixture.respondingCount = 10;
    fixture.run(std::chrono::milliseconds(500));
    CHECK(*fixture.estimator.share() < 0.4);
    fixture.respondingCount = 58;
    fixture.run(std::chrono::milliseconds(500));
    CHECK(*fixture.estimator.share() == 1);
}

TEST_CASE("a node without other members reaches the whole fleet")
{
    Fixture fixture(0);
    CHECK(*fixture.estimator.share() == 1);
}

TEST_CASE("the number of probes per second does not grow with the fleet")
{
    Fixture small(59);
    Fixture large(2000);
    for (Fixture *fixture : {&small, &large}) {
        fixture->run(std::chrono::seconds(1));
        fixture->probes = 0;
        fixture->run(std::chrono::seconds(1), ReachabilityEstimator::Pace::Normal);
    }
    CHECK(small.probes == large.probes);
}

// Guards against one side of a partition that regards itself as the whole fleet once it has declared the other side dead.
TEST_CASE("lost members still count for a while, those that have left or returned do not")
{
    ManualClock clock;
    RecentMembers recent(clock);
    Member leaving = memberOf(3, "c");
    leaving.isLeaving = true;
    recent.update(MemberView({memberOf(1, "a"), memberOf(2, "b"), leaving, memberOf(4, "d")}), SessionNumber(1));
    CHECK(recent.others().size() == 2);
    recent.update(MemberView({memberOf(1, "a")}), SessionNumber(1));
    std::vector<Address> others = recent.others();
    std::ranges::sort(others);
    CHECK(others == std::vector<Address>{addressOf(2), addressOf(4)});
    // The node on VM "b" was restarted.
    recent.update(MemberView({memberOf(1, "a"), memberOf(5, "b")}), SessionNumber(1));
    others = recent.others();
    std::ranges::sort(others);
    CHECK(others == std::vector<Address>{addressOf(4), addressOf(5)});
    clock.advance(std::chrono::minutes(1));
    CHECK(recent.others() == std::vector<Address>{addressOf(5)});
}
