#include <LibBase/ManualClock.h>
#include <LibGateway/CrashHistory.h>

#include <doctest/doctest.h>

#include <string>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds afterClassification{100};

const EndpointName a{"a"};
const EndpointName b{"b"};
const EndpointName c{"c"};
const EndpointName d{"d"};

/** @return the fingerprints of the requests that met a crash. */
std::vector<std::uint64_t> crashedRequests(const std::vector<ClassifiedDisconnect> &classified)
{
    std::vector<std::uint64_t> crashed;
    for (const ClassifiedDisconnect &entry : classified) {
        if (entry.isCrash) {
            crashed.push_back(entry.run.fingerprint);
        }
    }
    return crashed;
}

} // namespace

// A request crashes each replica that runs it, and its caller retries it with another id at another node. Each crash makes a
// replica unavailable for some seconds.
TEST_CASE("a request that crashed three replicas is refused until its crashes expire")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    crashes.recordCrash(7, a);
    crashes.recordCrash(7, b);
    CHECK_FALSE(crashes.isRefused(7));
    crashes.recordCrash(7, c);
    CHECK(crashes.isRefused(7));
    CHECK_FALSE(crashes.isRefused(8));
    clock.advance(std::chrono::minutes(3));
    CHECK_FALSE(crashes.isRefused(7));
    crashes.recordCrash(7, d);
    CHECK_FALSE(crashes.isRefused(7));
}

// All connections of one node are reset at the same time, three times in half a minute, because of a network fault. A batch
// item that is considered the cause is not run again for minutes, although replicas are idle, and its job stays open.
TEST_CASE("simultaneous disconnects from several replicas are not crashes")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (int reset = 0; reset < 4; ++reset) {
        crashes.recordDisconnect({7, a});
        clock.advance(std::chrono::milliseconds(8));
        crashes.recordDisconnect({8, b});
        clock.advance(afterClassification);
        CHECK(crashedRequests(crashes.classifyDisconnects()).empty());
        clock.advance(std::chrono::seconds(7));
    }
    CHECK_FALSE(crashes.isRefused(7));
    CHECK_FALSE(crashes.isHeld(7));
}

// A replica crashes while it runs four copies of the same request from different callers. If that counted as four crashes, the
// request would be refused to all callers, although it has met only one crash.
TEST_CASE("copies of a request that one replica ran count as one crash")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (int copy = 0; copy < 4; ++copy) {
        crashes.recordDisconnect({7, a});
    }
    crashes.recordDisconnect({9, a});
    CHECK(crashedRequests(crashes.classifyDisconnects()).empty());
    clock.advance(afterClassification);
    CHECK(crashedRequests(crashes.classifyDisconnects()) == std::vector<std::uint64_t>{7, 9});
    CHECK(crashedRequests(crashes.classifyDisconnects()).empty());
    CHECK_FALSE(crashes.isRefused(7));
}

// A request crashes one replica after another. All nodes are notified, and after the third crash it is refused for two minutes.
TEST_CASE("disconnects from replicas one after another are crashes")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        CHECK_FALSE(crashes.isRefused(7));
        crashes.recordDisconnect({7, replica});
        clock.advance(afterClassification);
        CHECK(crashedRequests(crashes.classifyDisconnects()) == std::vector<std::uint64_t>{7});
    }
    CHECK(crashes.isRefused(7));
}

// Three replicas crash under the same item, perhaps by chance. The item must be run eventually, but if it is the cause, it must
// not crash a replica every second. So it is retried after growing delays.
TEST_CASE("an item that met three crashes is held for delays that double")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        CHECK_FALSE(crashes.isHeld(7));
        crashes.recordCrash(7, replica);
    }
    CHECK(crashes.isHeld(7));
    clock.advance(std::chrono::milliseconds(4900));
    CHECK(crashes.isHeld(7));
    clock.advance(std::chrono::milliseconds(200));
    CHECK_FALSE(crashes.isHeld(7));
    crashes.recordCrash(7, d);
    clock.advance(std::chrono::milliseconds(9900));
    CHECK(crashes.isHeld(7));
    clock.advance(std::chrono::milliseconds(200));
    CHECK_FALSE(crashes.isHeld(7));
}

// Two nodes know the same crashes. If they were added up, ordinary requests that met one crash by chance would be refused.
TEST_CASE("crashes that another node reports too count once and expire at the same time as there")
{
    ManualClock clock;
    CrashHistory here(clock);
    CrashHistory there(clock);
    for (const EndpointName &replica : {a, b}) {
        here.recordCrash(7, replica);
        there.recordCrash(7, replica);
    }
    const auto mergeReports = [&here, &there] {
        for (const CrashHistory::RequestCrashes &reported : there.requestCrashes(10)) {
            here.merge(reported);
        }
    };
    mergeReports();
    mergeReports();
    CHECK_FALSE(here.isRefused(7));
    there.recordCrash(7, c);
    clock.advance(std::chrono::seconds(100));
    mergeReports();
    CHECK(here.isRefused(7));
    clock.advance(std::chrono::seconds(21));
    mergeReports();
    CHECK_FALSE(here.isRefused(7));
}

// A request crashes its replica, and shortly after that the replica to which its node resends it.
TEST_CASE("successive disconnects of a request from two replicas are two crashes")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    crashes.recordDisconnect({7, a});
    clock.advance(std::chrono::milliseconds(30));
    crashes.recordDisconnect({7, b});
    clock.advance(CrashHistory::classificationDelay - std::chrono::milliseconds(30));
    CHECK(crashedRequests(crashes.classifyDisconnects()) == std::vector<std::uint64_t>{7});
    clock.advance(std::chrono::milliseconds(30));
    CHECK(crashedRequests(crashes.classifyDisconnects()) == std::vector<std::uint64_t>{7});
}

// Several nodes ran copies of a request on one replica, and each reports the crash. An ordinary request must not be refused.
TEST_CASE("a crash of one replica that several nodes report counts once")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (int node = 0; node < 4; ++node) {
        crashes.recordCrash(7, a);
    }
    CHECK(crashes.crashCount(7) == 1);
}

// A request crashed replicas of two partitioned nodes, neither of which saw three crashes. Their counts must be merged.
TEST_CASE("crashes that different nodes recorded are merged")
{
    ManualClock clock;
    CrashHistory here(clock);
    CrashHistory there(clock);
    here.recordCrash(7, a);
    here.recordCrash(7, b);
    there.recordCrash(7, c);
    for (const CrashHistory::RequestCrashes &reported : there.requestCrashes(10)) {
        here.merge(reported);
    }
    CHECK(here.isRefused(7));
}

// A crash affects all requests on its replica. Those that met it by chance must not displace the one that crashed several.
TEST_CASE("if requests exceed the report limit, those with the most crashes are reported")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        crashes.recordCrash(7, replica);
    }
    clock.advance(std::chrono::seconds(1));
    for (std::uint64_t other = 100; other < 200; ++other) {
        crashes.recordCrash(other, d);
    }
    const std::vector<CrashHistory::RequestCrashes> reported = crashes.requestCrashes(10);
    REQUIRE(reported.size() == 10);
    CHECK(reported.front().fingerprint == 7);
}

// Many callers send the same request, and several replicas that run it are lost with a failure domain. It is still served.
TEST_CASE("a request that was served recently is not refused for crashes, but is refused once that is no longer recent")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    CHECK_FALSE(crashes.recordServed(7));
    for (const EndpointName &replica : {a, b, c}) {
        crashes.recordCrash(7, replica);
    }
    CHECK_FALSE(crashes.isRefused(7));
    CHECK_FALSE(crashes.isHeld(7));
    clock.advance(std::chrono::seconds(31));
    crashes.recordCrash(7, d);
    CHECK(crashes.isRefused(7));
}

// A request is refused for crashes that it met by chance, and then served, for example by another node.
TEST_CASE("a served request has its crashes removed")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (const EndpointName &replica : {a, b, c}) {
        crashes.recordCrash(7, replica);
    }
    REQUIRE(crashes.isRefused(7));
    const std::vector<CrashHistory::RequestCrashes> before = crashes.requestCrashes(1);
    CHECK(crashes.recordServed(7));
    CHECK_FALSE(crashes.isRefused(7));
    // A report of a node that has not received yet that the request was served.
    crashes.merge(before.front());
    CHECK(crashes.crashCount(7) == 0);
    clock.advance(std::chrono::seconds(31));
    crashes.recordCrash(7, d);
    CHECK_FALSE(crashes.isRefused(7));
}

// Replicas crash in a burst, several of them under the same item. Afterwards all are sound, and the item is still owed.
TEST_CASE("an item that met many crashes is not held for longer than ten seconds after the last of them")
{
    ManualClock clock;
    CrashHistory crashes(clock);
    for (int crash = 0; crash < 12; ++crash) {
        crashes.recordCrash(7, EndpointName("i-" + std::to_string(crash)));
        clock.advance(std::chrono::milliseconds(400));
    }
    CHECK(crashes.isHeld(7));
    CHECK(crashes.isRefused(7));
    clock.advance(std::chrono::seconds(10));
    CHECK_FALSE(crashes.isHeld(7));
    CHECK(crashes.isRefused(7));
}
