#include <LibBase/SystemClock.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibRouting/ReplicaSelector.h>
#include <LibTask/EventLoop.h>
#include <Services/Entry/EndpointReports.h>
#include <Services/Entry/FleetWatch.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

const Address anyPort{"127.0.0.1", 0};
constexpr std::chrono::seconds timeout{20};

/** An endpoint that serves only load reports. */
struct Endpoint
{
    explicit Endpoint(EventLoop &loop)
        : server(loop, anyPort, {4096}, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
            this->polls += request.path == "/load" ? 1 : 0;
            reply->send({200, {}, this->report});
        })
    {
    }

    std::string report = R"({"running":3,"queued":1,"instance":"first","version":"7","adapters":["notes"]})";
    int polls = 0;
    HttpServer server;
};

/** The components of a node that collect the state of endpoints. */
struct Watcher
{
    Watcher(EventLoop &loop, const Clock &clock, const SettingsHandle &settings, std::uint64_t number)
        : self(number)
        , http(loop)
        , replicas(settings->endpoints)
        , state(clock, settings, this->replicas)
        , datagrams(loop,
                    anyPort,
                    MessageKey("key"),
                    [this](const Datagram &datagram) {
                        this->watch.receive(datagram);
                    })
        , watch(loop, clock, settings, this->self, this->http, this->datagrams, this->replicas, this->state)
    {
    }

    Member member() const
    {
        Member member;
        member.session = this->self;
        member.fleet = this->datagrams.address();
        return member;
    }

    Replica &replica()
    {
        return this->replicas.all().front();
    }

    SessionNumber self;
    HttpClient http;
    ReplicaTable replicas;
    FleetState state;
    DatagramSocket datagrams;
    FleetWatch watch;
    std::vector<bool> reported;
};

struct Fixture
{
    Fixture() : endpoint(this->loop)
    {
        Settings settings;
        settings.fleet.loadPoll = 20ms;
        EndpointSettings listed;
        listed.name = "engine";
        listed.model = "m";
        listed.address = this->endpoint.server.address();
        listed.capacity = 8;
        listed.vm = "vm-engine";
        settings.endpoints = {listed};
        this->settings.replace(std::make_shared<Settings>(settings));
        std::vector<Member> members;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            this->watchers.push_back(std::make_unique<Watcher>(this->loop, this->clock, this->settings, number));
            members.push_back(this->watchers.back()->member());
        }
        const auto view = std::make_shared<MemberView>(std::move(members));
        for (const auto &watcher : this->watchers) {
            Watcher *const each = watcher.get();
            each->state.begin(each->replica());
            each->watch.setView(view);
            each->watch.start([each](const EndpointName &, bool isLeaving) {
                each->reported.push_back(isLeaving);
            });
        }
    }

    /** Runs the loop until a condition holds for all three watchers. @return whether it held within the timeout */
    bool reachedByAll(const std::function<bool(Watcher &)> &condition)
    {
        const SteadyTime end = this->clock.now() + timeout;
        bool isReached = false;
        std::function<void()> check = [&] {
            isReached = std::ranges::all_of(this->watchers, [&condition](const auto &watcher) {
                return condition(*watcher);
            });
            if (isReached || this->clock.now() >= end) {
                this->loop.stop();
                return;
            }
            this->loop.schedule(2ms, check);
        };
        check();
        if (!isReached) {
            this->loop.run();
        }
        return isReached;
    }

    EventLoop loop;
    SystemClock clock;
    SettingsHandle settings{std::make_shared<Settings>()};
    Endpoint endpoint;
    std::vector<std::unique_ptr<Watcher>> watchers;
};

} // namespace

TEST_CASE("one node polls an endpoint, and all nodes that use it receive its report")
{
    Fixture fixture;
    CHECK(fixture.reachedByAll([](Watcher &watcher) {
        return watcher.replica().version == "7" && watcher.replica().otherNodes.inFlight > 0;
    }));
    for (const auto &watcher : fixture.watchers) {
        CHECK(watcher->replica().adapters == std::vector<std::string>{"notes"});
        CHECK(watcher->replica().otherNodes.inFlight == doctest::Approx(3));
    }
}

TEST_CASE("batch items do not count as load for online requests")
{
    // Lanes fill a replica with batch items, which yield to online requests at once. If its report of 3 running and 1
    // waiting counted them, the replica would look full and lookups would queue behind less urgent batch work.
    Fixture fixture;
    for (const auto &watcher : fixture.watchers) {
        watcher->watch.setItems(EndpointName("engine"), 2);
    }
    CHECK(fixture.reachedByAll([](Watcher &watcher) {
        return watcher.replica().otherNodes.at > SteadyTime() && watcher.replica().otherNodes.inFlight < 1.5;
    }));
}

TEST_CASE("a leaving header received by one node marks the endpoint as leaving at all nodes, until it restarts")
{
    // Only one entry receives the refusal with the leaving header. The others have not sent anything to the endpoint
    // recently and would send it their next request, which it would refuse, or accept and interrupt.
    Fixture fixture;
    REQUIRE(fixture.reachedByAll([](Watcher &watcher) {
        return watcher.replica().instance == "first";
    }));
    Watcher &witness = *fixture.watchers[1];
    witness.watch.observeHeaders(witness.replica(), {{"dogwoodkeel-leaving", "true"}});
    CHECK(fixture.reachedByAll([](Watcher &watcher) {
        return watcher.replica().isLeaving && watcher.reported == std::vector<bool>{true};
    }));
    fixture.endpoint.report = R"({"running":0,"instance":"second"})";
    CHECK(fixture.reachedByAll([](Watcher &watcher) {
        return !watcher.replica().isLeaving && watcher.reported == std::vector<bool>{true, false};
    }));
}

TEST_CASE("an endpoint that leaves according to its load report or to one node's VM list is marked at all nodes")
{
    SUBCASE("load report")
    {
        Fixture fixture;
        fixture.endpoint.report = R"({"running":3,"leaving":true})";
        CHECK(fixture.reachedByAll([](Watcher &watcher) {
            return watcher.replica().isLeaving;
        }));
    }
    SUBCASE("VM list")
    {
        Fixture fixture;
        fixture.watchers[2]->watch.observe({{VmName("vm-engine"), true}});
        CHECK(fixture.reachedByAll([](Watcher &watcher) {
            return watcher.replica().isLeaving;
        }));
    }
}

TEST_CASE("malformed load reports and cache events are ignored or read with defaults")
{
    for (const char *const body : {"",
                                   "[]",
                                   "{",
                                   "null",
                                   R"({"running":-1,"queued":"x","adapters":7,"leaving":1})",
                                   R"({"running":1e99,"instance":{},"adapters":[1,null,{}]})"}) {
        const auto report = parseLoadReport(body);
        if (report) {
            CHECK(report->inFlight == 0);
            CHECK_FALSE(report->isLeaving);
            CHECK(report->adapters.empty());
        }
        CHECK(parseCacheEvents(body).empty());
    }
    CHECK_FALSE(parseLoadReport(R"({"path":"/load","run":1})"));
    CHECK(parseCacheEvents(R"({"events":[1,{"number":"x"},{"number":4,"kind":"stored","hash":9,"text":"abc"}]})").size() == 2);
}

// Guards against sums that wrap, which make an overloaded endpoint look idle.
TEST_CASE("a load report with very large numbers reads as the largest load")
{
    for (const char *const body : {R"({"running":4294967295,"queued":2})", R"({"running":4294967297})"}) {
        const auto report = parseLoadReport(body);
        REQUIRE(report);
        CHECK(report->inFlight == 4294967295);
    }
}
