#include <LibTask/TaskHost.h>
#include <Services/Gateway/ConfigurationFollower.h>
#include <Tests/Fakes/FakeRowStore.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace Dogwoodkeel;

namespace
{

/** Follows the configuration in a stand-in store, whose text is a number, the version. */
class FollowerBench
{
public:
    explicit FollowerBench(EventLoop &loop)
        : store(loop)
        , peers(loop,
                this->clock,
                this->store,
                makeSettings(),
                this->traffic,
                {.onView = [](const MemberViewPointer &) {}, .onDatagram = [](const Datagram &) {}, .newSession = &randomSession})
        , chunks(loop, this->peers, 1)
        , follower(loop,
                   this->clock,
                   this->store,
                   this->peers,
                   this->chunks,
                   {std::chrono::milliseconds(100), std::chrono::seconds(10)},
                   {"op",
                    "config",
                    [this](std::string_view text) {
                        ++this->decoded;
                        ServingConfiguration configuration;
                        configuration.version = std::stoul(std::string(text));
                        return std::optional(configuration);
                    }},
                   [this](const ServingConfigurationPointer &) {
                       ++this->changes;
                   })
    {
    }

    static Settings makeSettings()
    {
        Settings settings;
        settings.node.vm = "vm";
        return settings;
    }

    void configure(const std::string &text)
    {
        this->store.put({"op", "", "config"}, text);
    }

    SystemClock clock;
    TrafficMeter traffic;
    int decoded = 0;
    int changes = 0;
    FakeRowStore store;
    PeerNetwork peers;
    ChunkExchange chunks;
    ConfigurationFollower follower;
};

void awaitVersion(TaskHost<FollowerBench> &host, std::uint64_t version)
{
    await([&host, version] {
        return host.ask<bool>([version](FollowerBench &bench) {
            return bench.follower.version() == version;
        });
    });
}

} // namespace

// Guards against processor time that grows with the copies of a configuration: decoding a large one takes a small VM tenths of a
// second.
TEST_CASE("a configuration that is in force is not decoded when it is received again")
{
    TaskHost<FollowerBench> host("follower");
    host.ask<bool>([](FollowerBench &bench) {
        bench.configure("3");
        return true;
    });
    awaitVersion(host, 3);
    const auto readAgain = [&host] {
        const std::size_t before = host.ask<std::size_t>([](FollowerBench &bench) {
            bench.store.dropHistory();
            return bench.store.reads();
        });
        await([&host, before] {
            return host.ask<bool>([before](FollowerBench &bench) {
                return bench.store.reads() > before;
            });
        });
    };
    readAgain();
    host.ask<bool>([](FollowerBench &bench) {
        bench.configure("4");
        return true;
    });
    awaitVersion(host, 4);
    host.ask<bool>([](FollowerBench &bench) {
        CHECK(bench.decoded == 2);
        CHECK(bench.changes == 2);
        return true;
    });
}

TEST_CASE("an older configuration never replaces a newer one")
{
    TaskHost<FollowerBench> host("follower");
    host.ask<bool>([](FollowerBench &bench) {
        bench.configure("3");
        return true;
    });
    awaitVersion(host, 3);
    host.ask<bool>([](FollowerBench &bench) {
        bench.configure("2");
        return true;
    });
    await([&host] {
        return host.ask<bool>([](FollowerBench &bench) {
            return bench.decoded == 2;
        });
    });
    host.ask<bool>([](FollowerBench &bench) {
        CHECK(bench.follower.version() == 3);
        CHECK(bench.changes == 1);
        return true;
    });
}
