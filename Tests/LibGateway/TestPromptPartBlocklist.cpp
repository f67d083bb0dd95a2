#include <LibBase/ManualClock.h>
#include <LibGateway/PromptPartBlocklist.h>

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr PromptPart first = 1;
constexpr PromptPart bad = 2;
constexpr PromptPart other = 3;
constexpr std::chrono::milliseconds between{150};
constexpr int crashesToBlock = 4;

class Bench
{
public:
    Bench() : guard(this->clock)
    {
    }

    /** A replica crashes under requests with these parts. */
    void crash(const std::vector<std::vector<PromptPart>> &requests)
    {
        const EndpointName replica("i-" + std::to_string(++this->lastReplica));
        for (const std::vector<PromptPart> &parts : requests) {
            this->guard.noteCrash(replica, parts);
        }
        this->clock.advance(between);
    }

    ManualClock clock;
    PromptPartGuard guard;

private:
    int lastReplica = 0;
};

} // namespace

// No two requests are alike: what they have in common crashes one replica after the other.
TEST_CASE("a part that was in the prompts of four crashes is blocked, and no other one")
{
    Bench bench;
    bench.guard.noteServed({first, other});
    bench.clock.advance(between);
    for (int crash = 1; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    CHECK_FALSE(bench.guard.isBlocked({bad}));
    bench.crash({{first, bad}});
    CHECK(bench.guard.isBlocked({first, bad}));
    CHECK(bench.guard.isBlocked({other, bad}));
    CHECK_FALSE(bench.guard.isBlocked({first, other}));
}

// One replica a minute is lost: few requests have the part, and each of them crashes what it reaches.
TEST_CASE("a part under which replicas crash now and then is blocked as well")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.guard.noteServed({first, other});
        bench.crash({{first, bad}});
        bench.clock.advance(std::chrono::minutes(1));
    }
    CHECK(bench.guard.isBlocked({bad}));
    CHECK_FALSE(bench.guard.isBlocked({first, other}));
}

// Sound requests have the same first part, and all replicas are down most of the time: they are hardly served any more.
TEST_CASE("crashes that a blocked part explains are held against no other one")
{
    Bench bench;
    bench.guard.noteServed({first, other});
    bench.clock.advance(between);
    for (int crash = 0; crash < 30; ++crash) {
        bench.crash({{first, other}, {first, bad}});
    }
    CHECK(bench.guard.isBlocked({bad}));
    CHECK_FALSE(bench.guard.isBlocked({first, other}));
}

// A node has just started, and has served nothing yet: the parts of the crashed prompts are all new to it.
TEST_CASE("of parts that explain the same crashes, the one further behind in the prompt is blocked")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    CHECK(bench.guard.isBlocked({bad}));
    CHECK_FALSE(bench.guard.isBlocked({first}));
}

// Two faulty parts come at the same time, each under half of the crashes.
TEST_CASE("of two parts under which replicas crash, both are blocked")
{
    Bench bench;
    for (int crash = 0; crash < 4 * crashesToBlock; ++crash) {
        bench.crash({{first, crash % 2 == 0 ? bad : other}});
        bench.guard.noteServed({first});
    }
    CHECK(bench.guard.isBlocked({bad}));
    CHECK(bench.guard.isBlocked({other}));
    CHECK_FALSE(bench.guard.isBlocked({first}));
}

// Most requests of a crashed replica had been answered for a while: they tell nothing of what else crashed it.
TEST_CASE("crashes that are held against no part do not hide one under which others crash")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
        bench.crash({{}});
        bench.crash({{}});
    }
    CHECK(bench.guard.isBlocked({bad}));
}

// A part was sound until something changed at the replicas.
TEST_CASE("a part that was served before its crashes is blocked all the same")
{
    Bench bench;
    bench.guard.noteServed({first, bad});
    bench.clock.advance(between);
    for (int crash = 0; crash < 2 * crashesToBlock; ++crash) {
        bench.guard.noteServed({first});
        bench.crash({{first, bad}});
    }
    CHECK(bench.guard.isBlocked({bad}));
    CHECK_FALSE(bench.guard.isBlocked({first}));
}

// Replicas crash by themselves now and then, and take requests of all kinds with them.
TEST_CASE("a part that is served between crashes is never blocked")
{
    Bench bench;
    for (int crash = 0; crash < 50; ++crash) {
        bench.crash({{first, other}});
        bench.guard.noteServed({first, other});
        bench.clock.advance(between);
    }
    CHECK_FALSE(bench.guard.isBlocked({first, other}));
}

// A failure domain is lost, and with it many replicas at one moment; so are the requests that they had just begun.
TEST_CASE("crashes at one moment count once")
{
    ManualClock clock;
    PromptPartGuard guard(clock);
    for (int replica = 0; replica < 20; ++replica) {
        guard.noteCrash(EndpointName("i-" + std::to_string(replica)), {first, other});
        clock.advance(std::chrono::milliseconds(2));
    }
    CHECK_FALSE(guard.isBlocked({first, other}));
}

// Several nodes lose requests with one replica, and each tells of it.
TEST_CASE("notices of one replica's crash count once")
{
    ManualClock clock;
    PromptPartGuard guard(clock);
    for (int node = 0; node < 5; ++node) {
        guard.noteCrash(EndpointName("i-1"), {first, bad});
        clock.advance(std::chrono::milliseconds(80));
    }
    CHECK_FALSE(guard.isBlocked({bad}));
}

// The fault may have been mended; but each wrong try costs a replica.
TEST_CASE("a block ends, and the first crash after it blocks for longer")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    bench.clock.advance(std::chrono::minutes(2));
    CHECK_FALSE(bench.guard.isBlocked({bad}));
    bench.crash({{first, bad}});
    bench.clock.advance(std::chrono::minutes(3));
    CHECK(bench.guard.isBlocked({bad}));
    bench.clock.advance(std::chrono::minutes(1));
    CHECK_FALSE(bench.guard.isBlocked({bad}));
}

// A request that was sent before the block ends well: the part was not the cause.
TEST_CASE("a blocked part that is served is blocked no more, and the others are to be told")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    REQUIRE(bench.guard.isBlocked({bad}));
    CHECK(bench.guard.noteServed({bad, other}) == std::vector<PromptPart>{bad});
    CHECK_FALSE(bench.guard.isBlocked({bad}));
    CHECK(bench.guard.noteServed({bad, other}).empty());
}

// A node that missed a notice goes on to tell of a block that the others know to be wrong.
TEST_CASE("a block of another node is taken over unless the part was served since")
{
    Bench bench;
    Bench late;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    for (const PromptPartGuard::Blocked &blocked : bench.guard.blocked(10)) {
        late.guard.merge(blocked);
    }
    CHECK(late.guard.isBlocked({bad}));
    late.clock.advance(between);
    late.guard.noteServed({bad});
    for (const PromptPartGuard::Blocked &blocked : bench.guard.blocked(10)) {
        late.guard.merge(blocked);
    }
    CHECK_FALSE(late.guard.isBlocked({bad}));
}

// Requests of all kinds run while one part crashes replicas at random moments; some notices are lost.
TEST_CASE("among many parts, only the one that crashes replicas is ever blocked")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::minstd_rand random(seed);
        Bench bench;
        const auto draw = [&random](int most) {
            return std::uniform_int_distribution<int>(0, most - 1)(random);
        };
        const auto sound = [&draw] {
            return std::vector<PromptPart>{static_cast<PromptPart>(100 + draw(8)), static_cast<PromptPart>(1000 + draw(200))};
        };
        for (int request = 0; request < 100; ++request) {
            bench.guard.noteServed(sound());
        }
        bench.clock.advance(between);
        for (int step = 0; step < 400; ++step) {
            std::vector<std::vector<PromptPart>> requests;
            for (int neighbour = draw(4); neighbour > 0; --neighbour) {
                requests.push_back(sound());
            }
            if (draw(10) > 0) {
                requests.push_back({static_cast<PromptPart>(100 + draw(8)), bad});
            }
            if (draw(3) == 0) {
                bench.crash(requests);
            }
            bench.guard.noteServed(sound());
            bench.clock.advance(std::chrono::milliseconds(30));
        }
        CHECK(bench.guard.isBlocked({bad}));
        CHECK(bench.guard.blocked(10).size() == 1);
    }
}
