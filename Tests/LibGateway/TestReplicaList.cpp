#include <LibBase/ManualClock.h>
#include <LibGateway/ReplicaList.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds lapsedKept{2500};
constexpr LapseRules rules{lapsedKept, std::chrono::milliseconds(1200)};

ServingReplica replica(const std::string &instance, std::uint16_t port)
{
    return {EndpointName(instance), EndpointName(instance), ServiceName("s"), {"10.0.0.1", port}, FailureDomain("z"), 8, false};
}

} // namespace

// While the store is down, the entries of all replicas lapse, although the replicas are alive. After the outage the list is empty
// for a second or two. A node that applied it would refuse every request.
TEST_CASE("entries that lapse during or after an outage are kept until they reappear or their retention ends")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2)});
    list.recordOutage();
    clock.advance(std::chrono::seconds(5));
    list.recordAnswer();
    list.replaceAll({});
    CHECK(list.replicas().size() == 2);
    list.popChanges();
    list.expire();
    CHECK(list.popChanges().isEmpty());
    clock.advance(std::chrono::milliseconds(1500));
    list.put(replica("a", 1));
    clock.advance(std::chrono::milliseconds(1500));
    list.expire();
    const ReplicaChanges expired = list.popChanges();
    REQUIRE(expired.removed.size() == 1);
    CHECK(expired.removed[0].instance == EndpointName("b"));
    CHECK(expired.put.empty());
    CHECK(list.replicas().size() == 1);
    CHECK(list.replicas().contains(EndpointName("a")));
}

TEST_CASE("without an outage an entry is removed immediately")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2)});
    list.remove({EndpointName("a")});
    CHECK(list.replicas().size() == 1);
}

TEST_CASE("a draining replica is not kept during an outage")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    ServingReplica leaving = replica("a", 1);
    leaving.isDraining = true;
    list.put(leaving);
    list.recordOutage();
    list.remove({EndpointName("a")});
    CHECK(list.replicas().empty());
}

// A replica crashes and its address is reassigned. Requests to the old entry would reach the new replica.
TEST_CASE("an entry is removed when another replica has its address")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.put(replica("a", 1));
    list.put(replica("b", 1));
    CHECK(list.replicas().size() == 1);
    CHECK(list.replicas().contains(EndpointName("b")));
}

// A replica crashes and restarts under its registered name. The load, requests, connections and failures that are recorded for it
// belong to the previous incarnation.
TEST_CASE("a replica that restarts under its name replaces the previous incarnation")
{
    ManualClock clock;
    std::vector<EndpointName> ended;
    ReplicaList list(clock, rules, {.restarted = [&ended](const ServingReplica &former) {
                         ended.push_back(former.instance);
                     }});
    ServingReplica first = replica("a", 1);
    first.instance = EndpointName("a@1");
    ServingReplica second = first;
    second.instance = EndpointName("a@2");
    list.put(first);
    list.put(first);
    CHECK(ended.empty());
    list.put(second);
    CHECK(ended == std::vector{EndpointName("a@1")});
    CHECK(list.replicas().size() == 1);
    CHECK(list.replicas().contains(EndpointName("a@2")));
    list.replaceExactly({first});
    CHECK(ended.size() == 2);
    list.remove({EndpointName("a")});
    CHECK(list.replicas().empty());
}

// The entry of a healthy replica is invalid for a short time. Its running requests must not be aborted because of that.
TEST_CASE("a replica with an unreadable entry is draining until the entry is valid again")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2)});
    list.popChanges();
    list.markUnreadable(EndpointName("a"));
    CHECK(list.popChanges().put.size() == 1);
    list.markUnreadable(EndpointName("a"));
    list.markUnreadable(EndpointName("unknown"));
    CHECK(list.popChanges().isEmpty());
    CHECK(list.findRegistered(EndpointName("a"))->isDraining);
    CHECK_FALSE(list.findRegistered(EndpointName("b"))->isDraining);
    list.put(replica("a", 1));
    CHECK_FALSE(list.findRegistered(EndpointName("a"))->isDraining);
}

TEST_CASE("changes are returned once, and an entry that reappears before the call is not returned as removed")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2), replica("c", 3)});
    CHECK(list.popChanges().put.size() == 3);
    CHECK(list.popChanges().isEmpty());
    list.put(replica("a", 1));
    CHECK(list.popChanges().isEmpty());
    list.remove({EndpointName("b")});
    list.put(replica("d", 3));
    const ReplicaChanges changes = list.popChanges();
    REQUIRE(changes.put.size() == 1);
    CHECK(changes.put[0].instance == EndpointName("d"));
    CHECK(changes.removed.size() == 2);
    list.remove({EndpointName("a")});
    list.put(replica("a", 1));
    CHECK(list.popChanges().removed.empty());
}

// Guards against a replica that stays in use for its former service after it moved to another.
TEST_CASE("a replica that moves to another service is removed from the former one")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.put(replica("a", 1));
    list.popChanges();
    ServingReplica moved = replica("a", 1);
    moved.service = ServiceName("t");
    list.put(moved);
    const ReplicaChanges changes = list.popChanges();
    REQUIRE(changes.removed.size() == 1);
    CHECK(changes.removed[0].service == ServiceName("s"));
    REQUIRE(changes.put.size() == 1);
    CHECK(changes.put[0].service == ServiceName("t"));
}

TEST_CASE("a replica that moves to another address is found only there")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.put(replica("a", 1));
    list.put(replica("a", 2));
    CHECK(list.findAt({"10.0.0.1", 1}) == nullptr);
    CHECK(list.findAt({"10.0.0.1", 2})->instance == EndpointName("a"));
    CHECK(list.findRegistered(EndpointName("a"))->address.port == 2);
}

// Guards against requests to a departed replica: its entry is removed right after a single call to the store has failed.
TEST_CASE("an entry that is removed after a short outage is not kept as lapsed")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2)});
    list.recordAnswer();
    clock.advance(std::chrono::milliseconds(200));
    list.recordOutage();
    clock.advance(std::chrono::milliseconds(157));
    list.recordAnswer();
    clock.advance(std::chrono::milliseconds(100));
    list.remove({EndpointName("a")});
    CHECK_FALSE(list.replicas().contains(EndpointName("a")));
    CHECK(list.replicas().contains(EndpointName("b")));
}

// Guards against an empty fleet: the store returns after a moment, but without the entries that it had.
TEST_CASE("if most entries are missing after a short outage, they are kept until they reappear or their retention ends")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2), replica("c", 3)});
    list.recordOutage();
    clock.advance(std::chrono::milliseconds(157));
    list.recordAnswer();
    list.replaceAll({replica("a", 1)});
    CHECK(list.replicas().size() == 3);
    clock.advance(lapsedKept);
    list.expire();
    CHECK(list.replicas().size() == 1);
}

// Guards against requests to a departed replica: this node has lost the store and receives the list of a node that still keeps
// the replica's entry as lapsed.
TEST_CASE("an entry that another node keeps as lapsed expires here too")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2)});
    list.recordOutage();
    clock.advance(std::chrono::seconds(5));
    list.recordAnswer();
    list.remove({EndpointName("a")});
    ListedReplica kept = replica("a", 1);
    kept.keptFor = std::chrono::milliseconds(1700);
    list.replaceExactly({kept, replica("b", 2)});
    CHECK(list.keptFor(EndpointName("a")) == kept.keptFor);
    clock.advance(std::chrono::milliseconds(1600));
    list.recordAnswer();
    list.expire();
    CHECK(list.replicas().contains(EndpointName("a")));
    clock.advance(std::chrono::milliseconds(100));
    list.expire();
    CHECK_FALSE(list.replicas().contains(EndpointName("a")));
    CHECK(list.replicas().contains(EndpointName("b")));
}

// Guards against an empty node: it received lapsed entries from a node that it lost, and the store is still away.
TEST_CASE("entries that another node kept as lapsed stay while no node confirms the list")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    ListedReplica kept = replica("a", 1);
    kept.keptFor = std::chrono::milliseconds(1700);
    list.replaceExactly({kept});
    clock.advance(std::chrono::seconds(10));
    list.expire();
    CHECK(list.replicas().contains(EndpointName("a")));
    list.recordConfirmation(clock.now());
    list.expire();
    CHECK(list.replicas().empty());
}

// Guards against requests to a departed replica: its heartbeat cannot have timed out when its entry was removed. Guards against
// requests without a replica: heartbeats that the outage delayed time out soon after its end.
TEST_CASE("an entry is kept as lapsed only if heartbeats have been missing for long enough")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2), replica("c", 3), replica("d", 4), replica("e", 5)});
    list.recordAnswer();
    list.recordOutage();
    clock.advance(std::chrono::milliseconds(2200));
    list.recordAnswer();
    list.remove({EndpointName("a")});
    CHECK_FALSE(list.replicas().contains(EndpointName("a")));
    clock.advance(std::chrono::milliseconds(200));
    list.recordAnswer();
    list.remove({EndpointName("b")});
    CHECK(list.replicas().contains(EndpointName("b")));
    clock.advance(lapsedKept - std::chrono::milliseconds(201));
    list.expire();
    CHECK(list.replicas().contains(EndpointName("b")));
    clock.advance(std::chrono::milliseconds(1));
    list.expire();
    CHECK_FALSE(list.replicas().contains(EndpointName("b")));
}

// Guards against requests to a departed replica: only this node had lost the store, and the others' replicas could register.
TEST_CASE("an entry is not kept as lapsed if another node confirmed the list during the outage")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2), replica("c", 3)});
    list.recordAnswer();
    list.recordOutage();
    clock.advance(std::chrono::seconds(10));
    list.recordConfirmation(clock.now() - std::chrono::milliseconds(300));
    list.recordAnswer();
    list.remove({EndpointName("a")});
    CHECK_FALSE(list.replicas().contains(EndpointName("a")));
}

// Guards against requests without a replica: the store fails once more right after its return, before the heartbeats time out
// that the outage delayed.
TEST_CASE("a failure right after an outage does not hide that entries may lapse")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2), replica("c", 3)});
    list.recordAnswer();
    list.recordOutage();
    clock.advance(std::chrono::milliseconds(2300));
    for (int failure = 0; failure < 2; ++failure) {
        list.recordAnswer();
        clock.advance(std::chrono::milliseconds(50));
        list.recordOutage();
        clock.advance(std::chrono::milliseconds(50));
    }
    list.recordAnswer();
    list.remove({EndpointName("a")});
    CHECK(list.replicas().contains(EndpointName("a")));
}

// Guards against requests to a departed replica: single calls fail again and again, with calm times between them.
TEST_CASE("single failures with calm times between them are not taken for one long outage")
{
    ManualClock clock;
    ReplicaList list(clock, rules, {});
    list.replaceAll({replica("a", 1), replica("b", 2), replica("c", 3)});
    for (int failure = 0; failure < 5; ++failure) {
        list.recordAnswer();
        list.recordOutage();
        clock.advance(std::chrono::milliseconds(50));
        list.recordAnswer();
        clock.advance(std::chrono::milliseconds(1300));
    }
    list.remove({EndpointName("a")});
    CHECK_FALSE(list.replicas().contains(EndpointName("a")));
}
