#include <LibFleet/ReplicaTable.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

EndpointSettings endpoint(const std::string &name, const std::string &address, const std::string &model)
{
    EndpointSettings settings;
    settings.name = name;
    settings.address = *Address::parse(address);
    settings.model = model;
    return settings;
}

} // namespace

TEST_CASE("a new configuration keeps the state of replicas that remain")
{
    ReplicaTable table({endpoint("a", "127.0.0.1:1", "m"), endpoint("b", "127.0.0.1:2", "m")});
    Replica *const kept = table.find(EndpointName("a"));
    kept->inFlight = 3;
    kept->consecutiveFailures = 1;

    table.update({endpoint("c", "127.0.0.1:3", "m"), endpoint("a", "127.0.0.1:1", "n")});

    CHECK(table.find(EndpointName("a")) == kept);
    CHECK(kept->inFlight == 3);
    CHECK(kept->serves == "n");
    CHECK(table.of("m").size() == 1);
    CHECK(table.of("n").size() == 1);
    CHECK(table.find(EndpointName("b")) == nullptr);
}

TEST_CASE("a removed replica stays valid until its last request has ended")
{
    // A stream runs at an endpoint while an operator removes the endpoint from the configuration. The stream holds a
    // pointer to the replica and decrements its count at the end, which would corrupt memory if the replica were freed.
    ReplicaTable table({endpoint("a", "127.0.0.1:1", "m")});
    Replica *const removed = table.find(EndpointName("a"));
    removed->inFlight = 1;

    table.update({endpoint("b", "127.0.0.1:2", "m")});
    table.update({endpoint("b", "127.0.0.1:2", "m")});

    CHECK(table.find(EndpointName("a")) == nullptr);
    CHECK(table.of("m").size() == 1);
    CHECK(removed->inFlight == 1);
    CHECK(removed->name == EndpointName("a"));
}

TEST_CASE("an endpoint that moves to another address is a new replica")
{
    ReplicaTable table({endpoint("a", "127.0.0.1:1", "m")});
    table.find(EndpointName("a"))->consecutiveFailures = 5;

    table.update({endpoint("a", "127.0.0.1:9", "m")});

    CHECK(table.find(EndpointName("a"))->consecutiveFailures == 0);
    CHECK(table.find(EndpointName("a"))->address == *Address::parse("127.0.0.1:9"));
    CHECK(table.all().size() == 1);
}

TEST_CASE("an endpoint of another role can be found but serves no requests of callers")
{
    EndpointSettings spare = endpoint("b", "127.0.0.1:2", "m");
    spare.role = "prefill";
    ReplicaTable table({endpoint("a", "127.0.0.1:1", "m"), spare});
    CHECK(table.find(EndpointName("b")) != nullptr);
    CHECK(table.of("m") == std::vector<Replica *>{table.find(EndpointName("a"))});
}
