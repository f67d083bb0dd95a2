#include <Tests/ServiceEntry/EntryBench.h>

using namespace Dogwoodkeel;

namespace
{

using Exchange = std::shared_ptr<ScriptedEndpoint::Exchange>;

/** Closes the connection on "poison", like an endpoint that crashes, and serves all other requests. */
void crashOnPoison(const Exchange &exchange)
{
    if (exchange->body.find("poison") != std::string::npos || exchange->head.find("poison") != std::string::npos) {
        exchange->close();
        return;
    }
    exchange->beginStream();
    exchange->token("fine", "stop");
    exchange->endStream();
}

std::size_t requestsOf(const EntryBench &bench)
{
    std::size_t count = 0;
    for (const auto &endpoint : bench.endpoints) {
        count += endpoint->requests();
    }
    return count;
}

} // namespace

TEST_CASE("a request that crashes endpoints reaches two of them, whatever ids its caller uses")
{
    // Without the quarantine the six requests would crash all six endpoints. The first request reaches two endpoints
    // because it is retried; the later ones, under new ids, reach none.
    EntryBench bench(6);
    bench.start();
    for (const auto &endpoint : bench.endpoints) {
        endpoint->setScript(crashOnPoison);
    }
    for (int i = 0; i < 6; ++i) {
        const auto answer = bench.complete("poison", {{"Idempotency-Key", std::to_string(i)}}, i % 2 == 0);
        bench.untilEnd(answer);
        CHECK(answer->status == 422);
        CHECK(headerValue(answer->headers, "Retry-After").has_value());
    }
    CHECK(requestsOf(bench) == 2);
    const auto other = bench.complete("harmless");
    bench.untilEnd(other);
    CHECK(other->text() == "fine");
}

TEST_CASE("a node that received notices of two losses from other nodes refuses the request")
{
    EntryBench bench(3);
    bench.start();
    SuspectNotice notice;
    notice.from = SessionNumber(2);
    const std::uint64_t content = contentFingerprint("m", R"({"prompt":"poison"})").value();
    notice.suspects.push_back({content, EndpointName("m0"), FailureDomain("domain0"), 50, 40});
    notice.suspects.push_back({content, EndpointName("m1"), FailureDomain("domain1"), 30, 20});
    DatagramSocket other(bench.loop, {"127.0.0.1", 0}, MessageKey(""), [](const Datagram &) {});
    other.send(bench.entry->fleetAddress(), notice);
    // The datagram travels through the socket; the notice takes effect one turn of the loop after it arrived.
    bench.until([&] {
        return bench.entry->quarantinedRequests() == 1;
    });
    const auto answer = bench.complete("poison");
    bench.untilEnd(answer);
    CHECK(answer->status == 422);
    CHECK(answer->error("run") == "not_run");
    CHECK(requestsOf(bench) == 0);

    notice.suspects.clear();
    notice.cleared.push_back(content);
    bench.entry->receive({{}, SuspectNotice::number, encode(notice)});
    for (const auto &endpoint : bench.endpoints) {
        endpoint->setScript([](const Exchange &exchange) {
            exchange->beginStream();
            exchange->token("fine", "stop");
            exchange->endStream();
        });
    }
    const auto cleared = bench.complete("poison");
    bench.untilEnd(cleared);
    CHECK(cleared->text() == "fine");
}

TEST_CASE("a lookup that crashes endpoints reaches two of them")
{
    EntryBench bench(0);
    for (const char *const domain : {"a", "b", "c"}) {
        bench.addEndpoint(std::string("s-") + domain, domain, false).setScript(crashOnPoison);
    }
    bench.start();
    for (int i = 0; i < 3; ++i) {
        const auto answer = bench.send({.method = "GET", .path = "/v1/services/s/poison"});
        bench.untilEnd(answer);
        CHECK(answer->status == 422);
    }
    CHECK(requestsOf(bench) == 2);
}

TEST_CASE("a lookup over an unresponsive reused connection is answered over a new one by the same endpoint")
{
    EntryBench bench(0);
    bench.addEndpoint("s-a", "a", false).setScript([](const Exchange &exchange) {
        if (exchange->connection == 1 && exchange->head.find("second") != std::string::npos) {
            return;
        }
        exchange->answer(200, "{}");
    });
    bench.start();
    bench.untilEnd(bench.send({.method = "GET", .path = "/v1/services/s/first"}));
    const auto second = bench.send({.method = "GET", .path = "/v1/services/s/second"});
    bench.untilEnd(second);
    CHECK(second->status == 200);
    CHECK(bench.endpoints[0]->requests() == 3);
}

TEST_CASE("a lookup that is not answered by its deadline is refused then, with Retry-After")
{
    EntryBench bench(0);
    bench.addEndpoint("s-a", "a", false);
    bench.start();
    const auto answer = bench.send({.method = "GET", .path = "/v1/services/s/x", .headers = {{"Dogwoodkeel-Deadline-Ms", "30"}}});
    bench.untilEnd(answer);
    CHECK(answer->status == 504);
    CHECK(answer->error("run") == "unknown");
    CHECK(headerValue(answer->headers, "Retry-After").has_value());
}
