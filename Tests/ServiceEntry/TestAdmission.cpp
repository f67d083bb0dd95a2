#include <Tests/ServiceEntry/EntryBench.h>

using namespace Dogwoodkeel;

namespace
{

using Exchange = std::shared_ptr<ScriptedEndpoint::Exchange>;

HttpHeaders deadline(const char *milliseconds)
{
    return {{"Dogwoodkeel-Deadline-Ms", milliseconds}};
}

void serve(const Exchange &exchange)
{
    exchange->beginStream();
    exchange->token("x", "stop");
    exchange->endStream();
}

/** One model endpoint with two slots whose answers the test sends. */
struct FullEndpoint
{
    FullEndpoint()
    {
        this->bench.settings.endpoints[0].capacity = 2;
        this->bench.settings.entry.firstByteTimeout = std::chrono::seconds(10);
        this->bench.start();
        this->bench.endpoints[0]->setScript([this](const Exchange &exchange) {
            this->running.push_back(exchange);
        });
    }

    /** Occupies both slots. */
    void fill()
    {
        for (const char *const prompt : {"a", "b"}) {
            this->answers.push_back(this->bench.complete(prompt));
        }
        this->bench.until([this] {
            return this->running.size() == 2;
        });
    }

    EntryBench bench{1};
    std::vector<Exchange> running;
    std::vector<EntryBench::AnswerPointer> answers;
};

} // namespace

TEST_CASE("requests wait for a free slot, and the one with the earliest deadline gets it")
{
    // An engine would accept a third request and serve all three more slowly. The third request waits until one is
    // done; a later request with an earlier deadline goes first.
    FullEndpoint full;
    full.fill();
    const auto lessUrgent = full.bench.complete("patient", deadline("60000"));
    const auto urgent = full.bench.complete("urgent", deadline("30000"));
    full.bench.until([&] {
        return full.bench.owner.claims.size() == 4;
    });
    serve(full.running[0]);
    full.bench.until([&] {
        return full.running.size() == 3;
    });
    CHECK(full.running[2]->body.find("urgent") != std::string::npos);
    serve(full.running[1]);
    serve(full.running[2]);
    full.bench.until([&] {
        return full.running.size() == 4;
    });
    serve(full.running[3]);
    full.bench.untilEnd(lessUrgent);
    CHECK(lessUrgent->text() == "x");
    CHECK(urgent->text() == "x");
}

TEST_CASE("a request that finds the queue full is refused at once as not run, with Retry-After")
{
    EntryBench bench(1);
    bench.settings.endpoints[0].capacity = 1;
    bench.settings.entry.queueLength = 1;
    bench.settings.entry.firstByteTimeout = std::chrono::seconds(10);
    bench.start();
    std::vector<Exchange> running;
    bench.endpoints[0]->setScript([&](const Exchange &exchange) {
        running.push_back(exchange);
    });
    bench.complete("a");
    bench.until([&] {
        return running.size() == 1;
    });
    bench.complete("b");
    const auto refused = bench.complete("c");
    bench.untilEnd(refused);
    CHECK(refused->status == 503);
    CHECK(refused->error("reason") == "overloaded");
    CHECK(refused->error("run") == "not_run");
    CHECK(headerValue(refused->headers, "Retry-After").has_value());
    CHECK(running.size() == 1);
    bench.until([&] {
        return bench.owner.releases.size() == 1;
    });
}

TEST_CASE("a request whose deadline passes in the queue is refused as not run")
{
    FullEndpoint full;
    full.fill();
    const auto late = full.bench.complete("late", deadline("50"));
    full.bench.untilEnd(late);
    CHECK(late->status == 504);
    CHECK(late->error("run") == "not_run");
    serve(full.running[0]);
    full.bench.untilEnd(full.answers[0]);
    CHECK(full.running.size() == 2);
}

TEST_CASE("a lookup does not wait behind requests for a model that is full")
{
    // The lookup is answered while twenty requests for the model wait at the same node.
    EntryBench bench(1);
    bench.settings.endpoints[0].capacity = 1;
    bench.settings.entry.firstByteTimeout = std::chrono::seconds(10);
    bench.addEndpoint("s-a", "a", false).setScript([](const Exchange &exchange) {
        exchange->answer(200, "{}");
    });
    bench.start();
    for (int i = 0; i < 20; ++i) {
        bench.complete(std::to_string(i));
    }
    bench.until([&] {
        return bench.owner.claims.size() == 20;
    });
    const auto lookup = bench.send({.method = "GET", .path = "/v1/services/s/price"});
    bench.untilEnd(lookup);
    CHECK(lookup->status == 200);
    CHECK(bench.endpoints[0]->requests() == 1);
}

TEST_CASE("a tenant at its limit is refused at once, and admitted again when one of its requests is answered")
{
    EntryBench bench(1);
    bench.settings.tenants[0] = {.name = "default", .concurrency = 2};
    bench.settings.entry.firstByteTimeout = std::chrono::seconds(10);
    bench.start();
    std::vector<Exchange> running;
    bench.endpoints[0]->setScript([&](const Exchange &exchange) {
        running.push_back(exchange);
    });
    const auto first = bench.complete("a");
    bench.complete("b");
    bench.until([&] {
        return running.size() == 2;
    });
    const auto refused = bench.complete("c");
    bench.untilEnd(refused);
    CHECK(refused->status == 429);
    CHECK(refused->error("run") == "not_run");
    CHECK(headerValue(refused->headers, "Retry-After").has_value());
    const auto named = bench.complete("c", {{"Idempotency-Key", "k"}});
    bench.untilEnd(named);
    CHECK(named->error("run") == "unknown");
    serve(running[0]);
    bench.untilEnd(first);
    bench.complete("d");
    bench.until([&] {
        return running.size() == 3;
    });
}

TEST_CASE("when every replica is leaving, a request is refused at once and does not wait for a slot")
{
    // The deadline is a minute away and no slot becomes free within it. The request must be refused at once and not
    // wait for its deadline.
    EntryBench bench(1);
    bench.settings.entry.firstByteTimeout = std::chrono::seconds(10);
    bench.start();
    const auto vms = std::make_shared<std::vector<ListedVm>>();
    vms->push_back({VmName("m0"), true});
    bench.entry->setVms(vms);
    const auto refused = bench.complete("a", deadline("60000"));
    bench.untilEnd(refused);
    CHECK(refused->status == 503);
    CHECK(refused->error("run") == "not_run");
    CHECK(bench.endpoints[0]->requests() == 0);
}
