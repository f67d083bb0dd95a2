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

/** A node that probes others, of which some answer. */
class Bench
{
public:
    explicit Bench(std::size_t others)
        : sample(this->clock, 1, [this](const Address &other) {
            ++this->probes;
            if (other.port < this->reached) {
                this->sample.receive(other);
            }
        })
    {
        std::vector<Address> addresses;
        for (std::size_t number = 0; number < others; ++number) {
            addresses.push_back(addressOf(number));
        }
        this->reached = others;
        this->sample.setOthers(addresses);
    }

    void pass(std::chrono::milliseconds length, ReachabilityEstimator::Pace pace = ReachabilityEstimator::Pace::Fast)
    {
        for (std::chrono::milliseconds passed(0); passed < length; passed += tickInterval) {
            this->sample.tick(pace);
            this->clock.advance(tickInterval);
        }
    }

    ManualClock clock;
    /** Nodes with lower numbers answer. */
    std::size_t reached = 0;
    std::size_t probes = 0;
    ReachabilityEstimator sample;
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

TEST_CASE("the share of the fleet in contact is known before silent nodes are held dead, and not before they had time to answer")
{
    for (const std::size_t reached : {std::size_t(58), std::size_t(38), std::size_t(20), std::size_t(0)}) {
        Bench bench(58);
        bench.reached = reached;
        bench.pass(std::chrono::milliseconds(100));
        CHECK_FALSE(bench.sample.share());
        bench.pass(std::chrono::milliseconds(400));
        REQUIRE(bench.sample.share());
        const double exact = (1 + static_cast<double>(reached)) / 59;
        CHECK(std::abs(*bench.sample.share() - exact) < 0.2);
    }
}

TEST_CASE("a cut and its end show within half a second")
{
    Bench bench(58);
    bench.pass(std::chrono::seconds(2));
    CHECK(*bench.sample.share() == 1);
    bench.reached = 10;
    bench.pass(std::chrono::milliseconds(500));
    CHECK(*bench.sample.share() < 0.4);
    bench.reached = 58;
    bench.pass(std::chrono::milliseconds(500));
    CHECK(*bench.sample.share() == 1);
}

TEST_CASE("who has no others is in contact with all")
{
    Bench bench(0);
    CHECK(*bench.sample.share() == 1);
}

TEST_CASE("the probes of a second do not grow with the fleet")
{
    Bench small(59);
    Bench large(2000);
    for (Bench *bench : {&small, &large}) {
        bench->pass(std::chrono::seconds(1));
        bench->probes = 0;
        bench->pass(std::chrono::seconds(1), ReachabilityEstimator::Pace::Normal);
    }
    CHECK(small.probes == large.probes);
}

// Guards against a part of a fleet that takes itself for the whole once it holds the other part dead.
TEST_CASE("members that are lost count on for a while, those that have left or are back do not")
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
    // The VM was started again.
    recent.update(MemberView({memberOf(1, "a"), memberOf(5, "b")}), SessionNumber(1));
    others = recent.others();
    std::ranges::sort(others);
    CHECK(others == std::vector<Address>{addressOf(4), addressOf(5)});
    clock.advance(std::chrono::minutes(1));
    CHECK(recent.others() == std::vector<Address>{addressOf(5)});
}
