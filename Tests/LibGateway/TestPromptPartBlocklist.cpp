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
constexpr std::chrono::milliseconds crashInterval{150};
constexpr int crashesToBlock = 4;

class Bench
{
public:
    Bench() : blocklist(this->clock)
    {
    }

    /** Simulates the crash of a replica that runs requests with these parts. */
    void crash(const std::vector<std::vector<PromptPart>> &requests)
    {
        const EndpointName replica("i-" + std::to_string(++this->lastReplica));
        for (const std::vector<PromptPart> &parts : requests) {
            this->blocklist.recordCrash(replica, parts);
        }
        this->clock.advance(crashInterval);
    }

    ManualClock clock;
    PromptPartBlocklist blocklist;

private:
    int lastReplica = 0;
};

} // namespace

// All requests differ, but share a part that crashes one replica after another.
TEST_CASE("only the part that is common to the prompts of four crashes is blocked")
{
    Bench bench;
    bench.blocklist.recordServed({first, other});
    bench.clock.advance(crashInterval);
    for (int crash = 1; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    CHECK_FALSE(bench.blocklist.isBlocked({bad}));
    bench.crash({{first, bad}});
    CHECK(bench.blocklist.isBlocked({first, bad}));
    CHECK(bench.blocklist.isBlocked({other, bad}));
    CHECK_FALSE(bench.blocklist.isBlocked({first, other}));
}

// Few requests have the part, and each of them crashes its replica, about one per minute.
TEST_CASE("a part that crashes replicas infrequently is blocked")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.blocklist.recordServed({first, other});
        bench.crash({{first, bad}});
        bench.clock.advance(std::chrono::minutes(1));
    }
    CHECK(bench.blocklist.isBlocked({bad}));
    CHECK_FALSE(bench.blocklist.isBlocked({first, other}));
}

// Valid requests share the first part, but are rarely served as all replicas are down most of the time.
TEST_CASE("crashes that a blocked part explains are not attributed to other parts")
{
    Bench bench;
    bench.blocklist.recordServed({first, other});
    bench.clock.advance(crashInterval);
    for (int crash = 0; crash < 30; ++crash) {
        bench.crash({{first, other}, {first, bad}});
    }
    CHECK(bench.blocklist.isBlocked({bad}));
    CHECK_FALSE(bench.blocklist.isBlocked({first, other}));
}

// A node has just started and has served nothing yet, so all parts of the prompts are new to it.
TEST_CASE("of parts that explain the same crashes, the one later in the prompt is blocked")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    CHECK(bench.blocklist.isBlocked({bad}));
    CHECK_FALSE(bench.blocklist.isBlocked({first}));
}

// Two faulty parts occur in the same period, each in half of the crashes.
TEST_CASE("two parts that crash replicas are both blocked")
{
    Bench bench;
    for (int crash = 0; crash < 4 * crashesToBlock; ++crash) {
        bench.crash({{first, crash % 2 == 0 ? bad : other}});
        bench.blocklist.recordServed({first});
    }
    CHECK(bench.blocklist.isBlocked({bad}));
    CHECK(bench.blocklist.isBlocked({other}));
    CHECK_FALSE(bench.blocklist.isBlocked({first}));
}

// Some replicas crash while they run only requests that are already served in part, which identify no suspect.
TEST_CASE("crashes that are attributed to no part do not hide a part that causes others")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
        bench.crash({{}});
        bench.crash({{}});
    }
    CHECK(bench.blocklist.isBlocked({bad}));
}

// A part was harmless until the replicas changed.
TEST_CASE("a part that was served before its crashes is blocked")
{
    Bench bench;
    bench.blocklist.recordServed({first, bad});
    bench.clock.advance(crashInterval);
    for (int crash = 0; crash < 2 * crashesToBlock; ++crash) {
        bench.blocklist.recordServed({first});
        bench.crash({{first, bad}});
    }
    CHECK(bench.blocklist.isBlocked({bad}));
    CHECK_FALSE(bench.blocklist.isBlocked({first}));
}

// Replicas crash occasionally for other reasons while they run requests of all kinds.
TEST_CASE("a part that is served between crashes is never blocked")
{
    Bench bench;
    for (int crash = 0; crash < 50; ++crash) {
        bench.crash({{first, other}});
        bench.blocklist.recordServed({first, other});
        bench.clock.advance(crashInterval);
    }
    CHECK_FALSE(bench.blocklist.isBlocked({first, other}));
}

// Many replicas are lost with a failure domain at the same time, and so are the requests that they had just started.
TEST_CASE("simultaneous crashes count once")
{
    ManualClock clock;
    PromptPartBlocklist blocklist(clock);
    for (int replica = 0; replica < 20; ++replica) {
        blocklist.recordCrash(EndpointName("i-" + std::to_string(replica)), {first, other});
        clock.advance(std::chrono::milliseconds(2));
    }
    CHECK_FALSE(blocklist.isBlocked({first, other}));
}

// Several nodes lose requests with one replica, and each reports the crash.
TEST_CASE("several notices of the crash of one replica count once")
{
    ManualClock clock;
    PromptPartBlocklist blocklist(clock);
    for (int node = 0; node < 5; ++node) {
        blocklist.recordCrash(EndpointName("i-1"), {first, bad});
        clock.advance(std::chrono::milliseconds(80));
    }
    CHECK_FALSE(blocklist.isBlocked({bad}));
}

// The fault may have been fixed since, but each wrong attempt crashes a replica.
TEST_CASE("a block ends, and the first crash after it blocks for longer")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    bench.clock.advance(std::chrono::minutes(2));
    CHECK_FALSE(bench.blocklist.isBlocked({bad}));
    bench.crash({{first, bad}});
    bench.clock.advance(std::chrono::minutes(3));
    CHECK(bench.blocklist.isBlocked({bad}));
    bench.clock.advance(std::chrono::minutes(1));
    CHECK_FALSE(bench.blocklist.isBlocked({bad}));
}

// A request that was sent before the block is served, which shows that the part is not the cause.
TEST_CASE("a blocked part that is served is unblocked, and is returned so that other nodes are notified")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    REQUIRE(bench.blocklist.isBlocked({bad}));
    CHECK(bench.blocklist.recordServed({bad, other}) == std::vector<PromptPart>{bad});
    CHECK_FALSE(bench.blocklist.isBlocked({bad}));
    CHECK(bench.blocklist.recordServed({bad, other}).empty());
}

// A node that missed a notice keeps reporting a block that the others have already removed.
TEST_CASE("a block that another node reports is applied unless the part was served since")
{
    Bench bench;
    Bench late;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    for (const PromptPartBlocklist::BlockedPart &blocked : bench.blocklist.blockedParts(10)) {
        late.blocklist.merge(blocked);
    }
    CHECK(late.blocklist.isBlocked({bad}));
    late.clock.advance(crashInterval);
    late.blocklist.recordServed({bad});
    for (const PromptPartBlocklist::BlockedPart &blocked : bench.blocklist.blockedParts(10)) {
        late.blocklist.merge(blocked);
    }
    CHECK_FALSE(late.blocklist.isBlocked({bad}));
}

// A block that nothing may test ends only by time, although replicas are idle and the items are owed.
TEST_CASE("a blocked part may be tested by one item at a time, some seconds after its last crash")
{
    Bench bench;
    for (int crash = 0; crash < crashesToBlock; ++crash) {
        bench.crash({{first, bad}});
    }
    CHECK_FALSE(bench.blocklist.mayTest({first, bad}));
    CHECK(bench.blocklist.mayTest({first, other}));
    bench.clock.advance(std::chrono::seconds(5));
    CHECK(bench.blocklist.mayTest({first, bad}));
    CHECK(bench.blocklist.isBlocked({first, bad}));
    bench.blocklist.recordTest({first, bad});
    CHECK_FALSE(bench.blocklist.mayTest({first, bad}));
    bench.clock.advance(std::chrono::seconds(9));
    bench.crash({{first, bad}});
    bench.clock.advance(std::chrono::seconds(9));
    CHECK_FALSE(bench.blocklist.mayTest({first, bad}));
    bench.clock.advance(std::chrono::seconds(1));
    CHECK(bench.blocklist.mayTest({first, bad}));
}

// Requests of all kinds run while one part crashes replicas at random times; some crashes show no request with the part.
TEST_CASE("among many parts, only the one that crashes replicas is blocked")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::minstd_rand random(seed);
        Bench bench;
        const auto draw = [&random](int bound) {
            return std::uniform_int_distribution<int>(0, bound - 1)(random);
        };
        const auto validPrompt = [&draw] {
            return std::vector<PromptPart>{static_cast<PromptPart>(100 + draw(8)), static_cast<PromptPart>(1000 + draw(200))};
        };
        for (int request = 0; request < 100; ++request) {
            bench.blocklist.recordServed(validPrompt());
        }
        bench.clock.advance(crashInterval);
        for (int step = 0; step < 400; ++step) {
            std::vector<std::vector<PromptPart>> requests;
            for (int neighbour = draw(4); neighbour > 0; --neighbour) {
                requests.push_back(validPrompt());
            }
            if (draw(10) > 0) {
                requests.push_back({static_cast<PromptPart>(100 + draw(8)), bad});
            }
            if (draw(3) == 0) {
                bench.crash(requests);
            }
            bench.blocklist.recordServed(validPrompt());
            bench.clock.advance(std::chrono::milliseconds(30));
        }
        CHECK(bench.blocklist.isBlocked({bad}));
        CHECK(bench.blocklist.blockedParts(10).size() == 1);
    }
}
