#include <LibBase/ManualClock.h>
#include <LibGateway/CrashHistory.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds judged{100};

const EndpointName a{"a"};
const EndpointName b{"b"};
const EndpointName c{"c"};
const EndpointName d{"d"};

/** @return the requests that met a crash. */
std::vector<std::uint64_t> crashesOf(const std::vector<JudgedBreak> &judged)
{
    std::vector<std::uint64_t> crashed;
    for (const JudgedBreak &entry : judged) {
        if (entry.isCrash) {
            crashed.push_back(entry.run.fingerprint);
        }
    }
    return crashed;
}

} // namespace

// A request crashes each replica that runs it, and its caller sends it again, with another id and to another node. Each
// time a replica is gone for some seconds.
TEST_CASE("a request that crashed three replicas is refused until it is forgotten")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    crashes.noteCrash(7, a);
    crashes.noteCrash(7, b);
    CHECK_FALSE(crashes.isRefused(7));
    crashes.noteCrash(7, c);
    CHECK(crashes.isRefused(7));
    CHECK_FALSE(crashes.isRefused(8));
    clock.advance(std::chrono::minutes(3));
    CHECK_FALSE(crashes.isRefused(7));
    crashes.noteCrash(7, d);
    CHECK_FALSE(crashes.isRefused(7));
}

// The connections of one node are all reset at the same moment, three times in half a minute: a fault of the network, not
// of what ran on them. A batch item that is taken for the cause is not run again for minutes, though replicas are idle,
// and the caller's job stays open.
TEST_CASE("connections to several replicas that break at once are no crash")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    for (int reset = 0; reset < 4; ++reset) {
        crashes.noteBreak({7, a});
        clock.advance(std::chrono::milliseconds(8));
        crashes.noteBreak({8, b});
        clock.advance(judged);
        CHECK(crashesOf(crashes.judgeBreaks()).empty());
        clock.advance(std::chrono::seconds(7));
    }
    CHECK_FALSE(crashes.isRefused(7));
    CHECK_FALSE(crashes.isHeld(7));
}

// A replica crashes and takes four copies of the same request with it, as callers ask for the same thing at once. Counted
// as four crashes, the request would be refused to everybody, though it has met one crash only.
TEST_CASE("copies of a request that break with one replica are one crash")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    for (int copy = 0; copy < 4; ++copy) {
        crashes.noteBreak({7, a});
    }
    crashes.noteBreak({9, a});
    CHECK(crashesOf(crashes.judgeBreaks()).empty());
    clock.advance(judged);
    CHECK(crashesOf(crashes.judgeBreaks()) == std::vector<std::uint64_t>{7, 9});
    CHECK(crashesOf(crashes.judgeBreaks()).empty());
    CHECK_FALSE(crashes.isRefused(7));
}

// A request crashes one replica after the other. Each node learns of it, and the third crash is the last for two minutes.
TEST_CASE("replicas that break one after the other are crashes")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        CHECK_FALSE(crashes.isRefused(7));
        crashes.noteBreak({7, replica});
        clock.advance(judged);
        CHECK(crashesOf(crashes.judgeBreaks()) == std::vector<std::uint64_t>{7});
    }
    CHECK(crashes.isRefused(7));
}

// Replicas crash by chance, three times under the same item. It must run some day, but an item that does crash what runs it
// must not take a replica away from everybody each second: it is tried after pauses that grow.
TEST_CASE("an item that met three crashes is held for pauses that double")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        CHECK_FALSE(crashes.isHeld(7));
        crashes.noteCrash(7, replica);
    }
    CHECK(crashes.isHeld(7));
    clock.advance(std::chrono::milliseconds(4900));
    CHECK(crashes.isHeld(7));
    clock.advance(std::chrono::milliseconds(200));
    CHECK_FALSE(crashes.isHeld(7));
    crashes.noteCrash(7, d);
    clock.advance(std::chrono::milliseconds(9900));
    CHECK(crashes.isHeld(7));
    clock.advance(std::chrono::milliseconds(200));
    CHECK_FALSE(crashes.isHeld(7));
}

// Two nodes were told of the same crashes: added up, ordinary requests that met one crash by chance would be refused.
TEST_CASE("crashes that another node remembers too count once, and no longer than there")
{
    ManualClock clock;
    CrashMemory here(clock);
    CrashMemory there(clock);
    for (const EndpointName &replica : {a, b}) {
        here.noteCrash(7, replica);
        there.noteCrash(7, replica);
    }
    const auto tell = [&here, &there] {
        for (const CrashMemory::Known &known : there.known(10)) {
            here.merge(known);
        }
    };
    tell();
    tell();
    CHECK_FALSE(here.isRefused(7));
    there.noteCrash(7, c);
    clock.advance(std::chrono::seconds(100));
    tell();
    CHECK(here.isRefused(7));
    clock.advance(std::chrono::seconds(21));
    tell();
    CHECK_FALSE(here.isRefused(7));
}

// A request crashes its replica, and a moment later the one to which its node sends it again.
TEST_CASE("a request that breaks two replicas in turn has met two crashes")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    crashes.noteBreak({7, a});
    clock.advance(std::chrono::milliseconds(30));
    crashes.noteBreak({7, b});
    clock.advance(CrashMemory::judgeAfter - std::chrono::milliseconds(30));
    CHECK(crashesOf(crashes.judgeBreaks()) == std::vector<std::uint64_t>{7});
    clock.advance(std::chrono::milliseconds(30));
    CHECK(crashesOf(crashes.judgeBreaks()) == std::vector<std::uint64_t>{7});
}

// Several nodes had copies of a request at one replica, and each reports its crash: an ordinary request would be refused.
TEST_CASE("a crash of one replica that several nodes report counts once")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    for (int node = 0; node < 4; ++node) {
        crashes.noteCrash(7, a);
    }
    CHECK(crashes.crashesOf(7) == 1);
}

// Nodes were out of contact while a request crashed replicas under each of them: none would ever know of three.
TEST_CASE("crashes that different nodes saw are joined")
{
    ManualClock clock;
    CrashMemory here(clock);
    CrashMemory there(clock);
    here.noteCrash(7, a);
    here.noteCrash(7, b);
    there.noteCrash(7, c);
    for (const CrashMemory::Known &known : there.known(10)) {
        here.merge(known);
    }
    CHECK(here.isRefused(7));
}

// A crash meets all requests at its replica: those that met it by chance must not crowd out the one that crashed several.
TEST_CASE("of more requests than can be told those with most crashes are")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        crashes.noteCrash(7, replica);
    }
    clock.advance(std::chrono::seconds(1));
    for (std::uint64_t other = 100; other < 200; ++other) {
        crashes.noteCrash(other, d);
    }
    const std::vector<CrashMemory::Known> known = crashes.known(10);
    REQUIRE(known.size() == 10);
    CHECK(known.front().fingerprint == 7);
}

// Many callers send the same request, and a failure domain is lost with several replicas that ran it: it is still served.
TEST_CASE("a request that was served a moment ago is not refused for crashes, and is once that is long ago")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    CHECK_FALSE(crashes.noteServed(7));
    for (const EndpointName &replica : {a, b, c}) {
        crashes.noteCrash(7, replica);
    }
    CHECK_FALSE(crashes.isRefused(7));
    CHECK_FALSE(crashes.isHeld(7));
    clock.advance(std::chrono::seconds(31));
    crashes.noteCrash(7, d);
    CHECK(crashes.isRefused(7));
}

// Another node has served a request that this one refuses for crashes which it met by chance.
TEST_CASE("a request that is served has crashed nothing")
{
    ManualClock clock;
    CrashMemory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        crashes.noteCrash(7, replica);
    }
    REQUIRE(crashes.isRefused(7));
    const std::vector<CrashMemory::Known> before = crashes.known(1);
    CHECK(crashes.noteServed(7));
    CHECK_FALSE(crashes.isRefused(7));
    // Of a node that was not told of it.
    crashes.merge(before.front());
    CHECK(crashes.crashesOf(7) == 0);
    clock.advance(std::chrono::seconds(31));
    crashes.noteCrash(7, d);
    CHECK_FALSE(crashes.isRefused(7));
}
