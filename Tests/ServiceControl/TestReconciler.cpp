#include <LibBase/ManualClock.h>
#include <Services/Control/Reconciler.h>
#include <Tests/Fakes/EngineOrders.h>
#include <Tests/Fakes/FaultyPlatform.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t firstPort = 8000;

/** The engines of a site and the nodes that may give them orders. */
struct Site
{
    /** One node: its lease, its reconciler and the faults injected between it and the engines. */
    struct Node
    {
        Node(Site &site, SessionNumber session)
            : platform(site.data, site.clock)
            , lease(this->platform, site.clock, site.clock, session, {"mvd", 10s, 2s})
            , reconciler(site.clock, site.clock, this->lease, site.hooksOf(*this))
        {
            this->lease.start();
            this->reconciler.start();
        }

        FaultyPlatform platform;
        SettingsPointer settings;
        std::uint64_t version = 1;
        bool losesAnswers = false;
        /** Orders that passed the node's lease check but are not sent yet, because the node is paused there. */
        bool isPausedAtSend = false;
        std::vector<std::function<void()>> pausedSends;
        OrderLease lease;
        Reconciler reconciler;
    };

    ManualClock clock;
    std::shared_ptr<EmbeddedStore> data = std::make_shared<EmbeddedStore>();
    Settings settings;
    std::map<Address, std::unique_ptr<EngineOrders>> engines;
    std::map<Address, bool> isServing;
    std::size_t maxLoading = 0;
    std::size_t minServing = 1000;

    explicit Site(std::size_t engineCount, EngineOrders::Options options = {true, 0ms})
    {
        this->settings.models.push_back({.name = "m", .version = "v1"});
        this->settings.orders.interval = 500ms;
        for (std::size_t i = 0; i < engineCount; ++i) {
            EndpointSettings endpoint;
            endpoint.name = "e" + std::to_string(i);
            endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + i)};
            endpoint.failureDomain = "domain-" + std::to_string(i % 3);
            endpoint.model = "m";
            this->settings.endpoints.push_back(endpoint);
            this->engines[endpoint.address] = std::make_unique<EngineOrders>(this->clock, options);
        }
    }

    EngineOrders &engine(std::size_t index)
    {
        return *this->engines.at({"127.0.0.1", static_cast<std::uint16_t>(firstPort + index)});
    }

    Reconciler::Hooks hooksOf(Node &node)
    {
        node.settings = std::make_shared<const Settings>(this->settings);
        Reconciler::Hooks hooks;
        hooks.configuration = [&node] {
            return Reconciler::Configuration{node.settings, node.version};
        };
        hooks.fetchReport = [this](const Address &address, const auto &onReport) {
            this->clock.schedule(1ms, [this, address, onReport] {
                onReport(this->engines.at(address)->report());
            });
        };
        hooks.sendOrder = [this, &node](const Address &address, const EngineOrder &order, const auto &done) {
            const auto arrive = [this, &node, address, order, done] {
                const bool isAccepted = this->engines.at(address)->apply(order);
                this->clock.schedule(1ms, [&node, isAccepted, done] {
                    done(node.losesAnswers ? OrderOutcome::Failed
                             : isAccepted  ? OrderOutcome::Accepted
                                           : OrderOutcome::StaleFence);
                });
            };
            if (node.isPausedAtSend) {
                node.pausedSends.emplace_back(arrive);
                return;
            }
            this->clock.schedule(1ms, arrive);
        };
        return hooks;
    }

    /** Puts an operator's change into force at a node. */
    void configure(Node &node, std::uint64_t version) const
    {
        node.settings = std::make_shared<const Settings>(this->settings);
        node.version = version;
    }

    void run(std::chrono::milliseconds time)
    {
        constexpr auto step = 100ms;
        for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
            this->clock.advance(step);
            std::size_t loading = 0;
            std::size_t serving = 0;
            for (const auto &[address, engine] : this->engines) {
                const EngineStateReport report = engine->report();
                loading += report.loading ? 1 : 0;
                serving += report.state.version.empty() ? 0 : 1;
            }
            this->maxLoading = std::max(this->maxLoading, loading);
            this->minServing = std::min(this->minServing, serving);
        }
    }

    std::size_t countOf(const std::string &version)
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->engines, [&version](const auto &entry) {
            return entry.second->report().state.version == version;
        }));
    }
};

} // namespace

TEST_CASE("empty engines get the intended model, and nothing more is sent when they have it")
{
    Site site(3);
    Site::Node node(site, SessionNumber(1));
    site.run(20s);
    CHECK(site.countOf("v1") == 3);
    CHECK(site.engine(0).appliedOrders().size() == 1);
}

TEST_CASE("an engine that restarts empty is loaded again")
{
    // The engine's process ends and restarts with nothing loaded, without a notification. Its next report shows it.
    Site site(3);
    Site::Node node(site, SessionNumber(1));
    site.run(20s);
    site.engine(1).restart();
    site.run(5s);
    CHECK(site.countOf("v1") == 3);
    CHECK(site.engine(1).appliedOrders().size() == 2);
}

TEST_CASE("an order whose answer was lost is not sent again once it has taken effect")
{
    // The engine accepts the order and the answer is lost. A second order would restart the load on an engine that treats
    // each order as new; the report shows that it is loading.
    Site site(1, {true, 30s});
    Site::Node node(site, SessionNumber(1));
    node.losesAnswers = true;
    site.run(20s);
    CHECK(site.engine(0).report().loading.has_value());
    site.run(30s);
    CHECK(site.countOf("v1") == 1);
    CHECK(site.engine(0).received() == 1);
}

TEST_CASE("a holder that was paused past its lease between check and send is refused by engines that check")
{
    // Node 1 checks its lease, is paused, and its order is sent long after node 2 gave others by a newer
    // configuration. An engine that checks the fencing number refuses it; the old version must not return.
    Site site(3);
    Site::Node first(site, SessionNumber(1));
    first.isPausedAtSend = true;
    site.run(5s);
    REQUIRE(first.pausedSends.size() == 1);
    first.platform.setDown(true);

    Site::Node second(site, SessionNumber(2));
    site.settings.models[0].version = "v2";
    site.configure(second, 2);
    site.run(40s);
    REQUIRE(site.countOf("v2") == 3);

    first.pausedSends.front()();
    CHECK(site.countOf("v2") == 3);
    site.run(5s);
    CHECK(site.countOf("v2") == 3);
    CHECK(!first.lease.maySendOrders());
}

TEST_CASE("an engine that ignores fencing numbers is corrected after a paused holder's late order")
{
    // As above, with an engine that accepts every order. The margins cannot cover a pause of any length. The new holder's
    // next comparison finds the engine out of its intended state and sends a correcting order.
    Site site(3, {false, 0ms});
    Site::Node first(site, SessionNumber(1));
    first.isPausedAtSend = true;
    site.run(5s);
    REQUIRE(first.pausedSends.size() == 1);
    first.platform.setDown(true);
    Site::Node second(site, SessionNumber(2));
    site.settings.models[0].version = "v2";
    site.configure(second, 2);
    site.run(40s);
    REQUIRE(site.countOf("v2") == 3);

    first.pausedSends.front()();
    CHECK(site.countOf("v2") == 2);
    site.run(5s);
    CHECK(site.countOf("v2") == 3);
}

TEST_CASE("two holders never give orders at the same time")
{
    // The first holder loses the platform and cannot renew its lease. It stops one margin before its lease ends, and the
    // second starts one margin after it acquired the lease: in between no node gives orders.
    Site site(1);
    Site::Node first(site, SessionNumber(1));
    Site::Node second(site, SessionNumber(2));
    site.run(20s);
    Site::Node &holder = first.lease.maySendOrders() ? first : second;
    Site::Node &other = first.lease.maySendOrders() ? second : first;
    REQUIRE(holder.lease.maySendOrders());
    const std::uint64_t before = holder.lease.fence();
    holder.platform.setDown(true);
    std::size_t both = 0;
    std::size_t neither = 0;
    std::size_t waiting = 0;
    for (int i = 0; i < 400; ++i) {
        site.clock.advance(100ms);
        both += holder.lease.maySendOrders() && other.lease.maySendOrders() ? 1 : 0;
        neither += !holder.lease.maySendOrders() && !other.lease.maySendOrders() ? 1 : 0;
        waiting += other.lease.row().epoch == before + 1 && !other.lease.maySendOrders() ? 1 : 0;
    }
    CHECK(both == 0);
    // Both margins of 2 s, in steps of 100 ms.
    CHECK(neither >= 40);
    CHECK(waiting >= 19);
    CHECK(other.lease.maySendOrders());
    CHECK(other.lease.fence() == before + 1);
}

TEST_CASE("a new holder that has not received the newest configuration gives no orders by an older one")
{
    // Two operators changed the model one after the other, and the first holder ordered by the second change. A new
    // holder that still has the first must not return the engines to it.
    Site site(3);
    site.settings.models[0].version = "v3";
    Site::Node first(site, SessionNumber(1));
    site.configure(first, 3);
    site.run(20s);
    REQUIRE(site.countOf("v3") == 3);
    first.lease.release();
    first.platform.setDown(true);

    site.settings.models[0].version = "v2";
    Site::Node second(site, SessionNumber(2));
    site.configure(second, 2);
    site.run(40s);
    CHECK(site.countOf("v3") == 3);
    CHECK(second.reconciler.status().degradations.size() == 1);

    site.settings.models[0].version = "v4";
    site.configure(second, 4);
    site.run(20s);
    CHECK(site.countOf("v4") == 3);
}

TEST_CASE("a version is rolled out without interrupting the last serving replica, with a limit of loads per failure domain")
{
    Site site(9, {true, 3s});
    site.settings.orders.loadsPerDomain = 2;
    Site::Node node(site, SessionNumber(1));
    site.run(60s);
    REQUIRE(site.countOf("v1") == 9);
    site.minServing = 1000;
    site.maxLoading = 0;
    site.settings.models[0].version = "v2";
    site.configure(node, 2);
    site.run(60s);
    CHECK(site.countOf("v2") == 9);
    CHECK(site.maxLoading <= 6);
    CHECK(site.minServing >= 3);
}

TEST_CASE("the only replica of a model keeps what it serves, unless its operators allow the interruption")
{
    Site site(1);
    Site::Node node(site, SessionNumber(1));
    site.run(20s);
    site.settings.models[0].version = "v2";
    site.configure(node, 2);
    site.run(20s);
    CHECK(site.countOf("v1") == 1);
    REQUIRE(node.reconciler.status().degradations.size() == 1);
    CHECK(node.reconciler.status().degradations[0].what.find("last that serves m v1") != std::string::npos);

    site.settings.models[0].mayInterrupt = true;
    site.configure(node, 3);
    site.run(20s);
    CHECK(site.countOf("v2") == 1);
}

TEST_CASE("loads are started no faster than the weight store delivers")
{
    // The weight store is slow: 10 s for one engine's weights. Concurrent loads would share its rate. Each would take as
    // long as all together, and the site would lack all these engines for the whole time.
    Site site(6, {true, 10s});
    site.settings.models[0].weightBytes = 1000;
    site.settings.orders.weightBytesPerSecond = 100;
    site.settings.orders.loadsPerDomain = 10;
    Site::Node node(site, SessionNumber(1));
    site.run(90s);
    CHECK(site.maxLoading <= 2);
    CHECK(site.countOf("v1") == 6);
}

TEST_CASE("a rollout that makes errors rise stops, is reported, and stays stopped under the next holder")
{
    // A third of the engines serve v2 and fail every fifth request. Continuing would spread the fault. The stop is
    // stored in the lease's row, because the next holder may get reports from engines that restarted and lost their counts.
    Site site(9);
    Site::Node node(site, SessionNumber(1));
    site.run(30s);
    site.settings.models[0].nextVersion = "v2";
    site.settings.models[0].nextShare = 0.3;
    site.configure(node, 2);
    site.run(20s);
    REQUIRE(site.countOf("v2") == 3);
    for (const auto &[address, engine] : site.engines) {
        engine->countRequests(100, engine->report().state.version == "v2" ? 20 : 1);
    }
    site.run(5s);
    site.settings.models[0].nextShare = 1;
    site.configure(node, 3);
    site.run(20s);
    CHECK(site.countOf("v2") == 3);
    CHECK(node.reconciler.status().degradations[0].what.find("m@v2") != std::string::npos);

    node.lease.release();
    node.platform.setDown(true);
    for (const auto &[address, engine] : site.engines) {
        engine->countRequests(100000, 0);
    }
    Site::Node second(site, SessionNumber(2));
    site.configure(second, 3);
    site.run(40s);
    CHECK(second.lease.maySendOrders());
    CHECK(site.countOf("v2") == 3);

    site.settings.models[0].nextShare = 0;
    site.configure(second, 4);
    site.run(20s);
    CHECK(site.countOf("v1") == 9);
}

TEST_CASE("the lease is acquired once when the answer to its acquisition is lost")
{
    Site site(1);
    Site::Node node(site, SessionNumber(1));
    node.platform.loseAnswers(1);
    site.run(30s);
    CHECK(site.countOf("v1") == 1);
}
