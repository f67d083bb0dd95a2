#include <Tests/ServiceEntry/EntryBench.h>

using namespace Dogwoodkeel;

namespace
{

using Exchange = std::shared_ptr<ScriptedEndpoint::Exchange>;

const HttpHeaders named{{"Idempotency-Key", "k"}};

HttpHeaders withDeadline(const char *milliseconds, HttpHeaders headers = {})
{
    headers["Dogwoodkeel-Deadline-Ms"] = milliseconds;
    return headers;
}

HttpHeaders nonIdempotent(HttpHeaders headers = {})
{
    headers["Dogwoodkeel-Idempotent"] = "false";
    return headers;
}

std::uint32_t resumedTokens(const Exchange &exchange)
{
    const auto body = nlohmann::json::parse(exchange->body);
    return body.contains("resume") ? body["resume"]["tokens"].get<std::uint32_t>() : 0;
}

/** Answers with tokens 0 to 3; a resumed request gets only the tokens that it lacks. */
void serveFourTokens(const Exchange &exchange)
{
    exchange->beginStream();
    for (std::uint32_t i = resumedTokens(exchange); i < 4; ++i) {
        exchange->token(std::to_string(i), i == 3 ? "stop" : "");
    }
    exchange->endStream();
}

} // namespace

TEST_CASE("a stream whose endpoint is lost is resumed at another one, and the caller gets one continuous answer")
{
    // The caller receives four tokens in order and the end. The first endpoint disconnects after two tokens; the
    // second is requested to continue after them.
    EntryBench bench(2);
    bench.start();
    std::size_t requestCount = 0;
    const auto script = [&](const Exchange &exchange) {
        if (++requestCount > 1) {
            CHECK(resumedTokens(exchange) == 2);
            serveFourTokens(exchange);
            return;
        }
        exchange->beginStream();
        exchange->token("0");
        exchange->token("1");
        exchange->close();
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p");
    bench.untilEnd(answer);
    CHECK(answer->text() == "0123");
    CHECK(answer->body.find("[DONE]") != std::string::npos);
    REQUIRE(bench.owner.commits.size() == 1);
    CHECK(bench.owner.commits[0].answer.body.find("0123") != std::string::npos);
}

TEST_CASE("the late reply of an abandoned attempt does not reach the caller")
{
    // The first endpoint becomes unresponsive over a new connection and its attempt is abandoned; it answers while
    // the second endpoint does.
    EntryBench bench(2);
    bench.start();
    Exchange first;
    const auto script = [&](const Exchange &exchange) {
        if (!first) {
            first = exchange;
            exchange->beginStream();
            exchange->token("0");
            return;
        }
        first->token("X");
        first->endStream();
        bench.loop.schedule(std::chrono::milliseconds(10), [exchange] {
            serveFourTokens(exchange);
        });
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p");
    bench.untilEnd(answer);
    CHECK(answer->text() == "0123");
}

TEST_CASE("a stream that was lost between its last token and its end is complete and does not run again")
{
    EntryBench bench(2);
    bench.start();
    const auto script = [&](const Exchange &exchange) {
        exchange->beginStream();
        exchange->token("0", "stop");
        exchange->close();
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p");
    bench.untilEnd(answer);
    CHECK(answer->text() == "0");
    CHECK(bench.endpoints[0]->requests() + bench.endpoints[1]->requests() == 1);
}

TEST_CASE("an unresponsive reused connection is replaced at the same endpoint, without counting a failure of the endpoint")
{
    // The second request reuses the idle connection of the first one, which has become unresponsive. It is answered
    // over a new connection to the same, only endpoint; the endpoint receives three requests in all.
    EntryBench bench(1);
    bench.start();
    bench.endpoints[0]->setScript([](const Exchange &exchange) {
        if (exchange->connection == 1 && exchange->body.find("second") != std::string::npos) {
            return;
        }
        serveFourTokens(exchange);
    });
    bench.untilEnd(bench.complete("first"));
    const auto second = bench.complete("second");
    bench.untilEnd(second);
    CHECK(second->text() == "0123");
    CHECK(bench.endpoints[0]->requests() == 3);
}

TEST_CASE("an unresponsive reused connection is detected well before the first byte timeout")
{
    // A new prompt may take long to the first byte, so that limit is longer than the caller's deadline. An
    // unresponsive idle connection is abandoned sooner, and the new connection has the full time.
    EntryBench bench(1);
    bench.settings.entry.firstByteTimeout = std::chrono::seconds(60);
    bench.start();
    bench.endpoints[0]->setScript([](const Exchange &exchange) {
        if (exchange->connection > 1 || exchange->body.find("second") == std::string::npos) {
            serveFourTokens(exchange);
        }
    });
    bench.untilEnd(bench.complete("first"));
    const auto second = bench.complete("second", withDeadline("10000"));
    bench.untilEnd(second);
    CHECK(second->text() == "0123");
}

TEST_CASE("an id that may have run before is never refused as not run")
{
    // The caller's first request ran at another node. Its resend arrives at a node that reaches no owner. If it were
    // refused as "not_run", the caller would repeat the work under another id.
    EntryBench bench(1);
    bench.owner.onClaim = [](const auto &, const auto &) {};
    bench.start();
    const auto resent = bench.complete("p", withDeadline("100", nonIdempotent(named)));
    bench.untilEnd(resent);
    CHECK(resent->error("run") == "unknown");
    const auto fresh = bench.complete("p", withDeadline("100", nonIdempotent()));
    bench.untilEnd(fresh);
    CHECK(fresh->error("run") == "not_run");
    CHECK(bench.endpoints[0]->requests() == 0);
}

TEST_CASE("a claim whose answer was lost is released after the refusal")
{
    // The caller is refused in time, and its resend need not wait for the lease of a runner that never existed.
    EntryBench bench(1);
    bench.settings.peers.callTimeout = std::chrono::milliseconds(50);
    bench.owner.onClaim = [](const auto &, const auto &) {};
    bench.start();
    const auto answer = bench.complete("p", withDeadline("100", named));
    bench.untilEnd(answer);
    bench.owner.onClaim = [](const auto &, const auto &respond) {
        respond({ClaimDecision::Run, {}});
    };
    bench.until([&] {
        return !bench.owner.releases.empty();
    });
    CHECK(bench.owner.releases[0].claim == bench.owner.claims[0].claim);
    CHECK(bench.endpoints[0]->requests() == 0);
}

TEST_CASE("a non-idempotent claim whose answer was lost is released, so that a resend runs")
{
    // The owner's answer arrives after the caller was refused with Retry-After. The request was never sent: a refusal
    // stored as its answer would be returned to every resend. The claim is released and nothing is committed.
    EntryBench bench(1);
    bench.settings.peers.callTimeout = std::chrono::milliseconds(50);
    bench.owner.onClaim = [](const auto &, const auto &) {};
    bench.start();
    bench.untilEnd(bench.complete("p", withDeadline("100", nonIdempotent(named))));
    bench.owner.onClaim = [](const auto &, const auto &respond) {
        respond({ClaimDecision::Run, {}});
    };
    bench.until([&] {
        return !bench.owner.releases.empty() || !bench.owner.commits.empty();
    });
    REQUIRE(bench.owner.releases.size() == 1);
    CHECK(bench.owner.releases[0].claim == bench.owner.claims[0].claim);
    CHECK(bench.owner.commits.empty());
    CHECK(bench.endpoints[0]->requests() == 0);
}

TEST_CASE("the claim of a non-idempotent request that no endpoint accepted is released, and the request is refused as not run")
{
    // Every endpoint refuses with 503, which means that nothing ran. The caller gets not_run and Retry-After; a
    // refusal stored as the answer would be returned to every resend.
    EntryBench bench(1);
    bench.start();
    bench.endpoints[0]->setScript([](const Exchange &exchange) {
        exchange->answer(503, "{}");
    });
    const auto answer = bench.complete("p", nonIdempotent(named), false);
    bench.untilEnd(answer);
    bench.until([&] {
        return !bench.owner.releases.empty() || !bench.owner.commits.empty();
    });
    CHECK(answer->error("run") == "not_run");
    CHECK(bench.owner.releases.size() == 1);
    CHECK(bench.owner.commits.empty());
}

TEST_CASE("the release of a claim is repeated until it reaches the shard's new owner")
{
    // The shard changes its owner while the claim is released. The first node answers that it is not the owner. If
    // the release stopped there, the intent would remain at the next owner and resends would wait for it until the
    // lease ends.
    EntryBench bench(1);
    bench.owner.onRelease = [&bench](const ReleaseRequest &, const auto &respond) {
        const bool isOwner = bench.owner.releases.size() > 1;
        respond({isOwner, isOwner});
    };
    bench.start();
    bench.endpoints[0]->setScript([](const Exchange &exchange) {
        exchange->answer(503, "{}");
    });
    bench.untilEnd(bench.complete("p", nonIdempotent(named), false));
    bench.until([&] {
        return bench.owner.releases.size() == 2;
    });
    CHECK(bench.owner.releases[0].claim == bench.owner.releases[1].claim);
}

TEST_CASE("the release of a non-idempotent claim that could not be recorded in time is repeated until an owner accepts it")
{
    // The owner answers that it cannot record the intent now, and the caller is refused. The intent may still stand
    // in the journal, and the owner may be lost before it withdraws it: the next owner would let resends wait for
    // this claim until its lease ends.
    EntryBench bench(1);
    bench.owner.onClaim = [](const ClaimRequest &, const auto &respond) {
        respond({ClaimDecision::Unavailable, {}});
    };
    bench.owner.onRelease = [&bench](const ReleaseRequest &, const auto &respond) {
        const bool isOwner = bench.owner.releases.size() > 1;
        respond({isOwner, isOwner});
    };
    bench.start();
    const auto answer = bench.complete("p", nonIdempotent(named), false);
    bench.untilEnd(answer);
    CHECK(answer->error("reason") == "platform_unavailable");
    CHECK(answer->error("run") == "unknown");
    bench.until([&] {
        return bench.owner.releases.size() == 2;
    });
    CHECK(bench.owner.releases[0].claim == bench.owner.claims[0].claim);
    CHECK(bench.owner.releases[1].claim == bench.owner.claims[0].claim);
}

TEST_CASE("a non-idempotent claim that is answered StillRunning after its request has ended is released")
{
    // The first answer to a claim is lost, and the repeated claim meets its own intent on its way to the journal. Its
    // answer is StillRunning and arrives after the caller was refused. Without a release the intent would remain
    // without a runner, and resends would wait for it until its lease ends.
    EntryBench bench(1);
    bench.owner.onClaim = [&bench](const ClaimRequest &, const auto &respond) {
        bench.loop.schedule(std::chrono::milliseconds(150), [respond] {
            respond({ClaimDecision::StillRunning, {}});
        });
    };
    bench.start();
    const auto answer = bench.complete("p", withDeadline("100", nonIdempotent(named)), false);
    bench.untilEnd(answer);
    CHECK(answer->error("reason") == "deadline_exceeded");
    bench.until([&] {
        return bench.owner.releases.size() == 1;
    });
    CHECK(bench.owner.releases[0].claim == bench.owner.claims[0].claim);
}

TEST_CASE("a deadline that passes during a stream ends it with deadline_exceeded, and it is not sent to another endpoint")
{
    EntryBench bench(2);
    bench.start();
    const auto script = [&](const Exchange &exchange) {
        exchange->beginStream();
        exchange->token("0");
        bench.loop.schedule(std::chrono::milliseconds(40), [exchange] {
            exchange->token("1");
        });
        bench.loop.schedule(std::chrono::milliseconds(80), [exchange] {
            exchange->token("2");
        });
        bench.loop.schedule(std::chrono::milliseconds(120), [exchange] {
            exchange->token("3");
        });
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p", withDeadline("100", named));
    bench.untilEnd(answer);
    CHECK(answer->body.find("deadline_exceeded") != std::string::npos);
    CHECK(answer->body.find("[DONE]") == std::string::npos);
    CHECK(bench.endpoints[0]->requests() + bench.endpoints[1]->requests() == 1);
    bench.until([&] {
        return !bench.owner.releases.empty();
    });
    CHECK(bench.owner.commits.empty());
}

TEST_CASE("the result of a non-idempotent run that ends after its caller's deadline is stored for the resend")
{
    EntryBench bench(2);
    bench.start();
    const auto script = [&](const Exchange &exchange) {
        bench.loop.schedule(std::chrono::milliseconds(120), [exchange] {
            serveFourTokens(exchange);
        });
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p", withDeadline("50", nonIdempotent(named)), false);
    bench.untilEnd(answer);
    CHECK(answer->status == 504);
    CHECK(answer->error("run") == "unknown");
    bench.until([&] {
        return !bench.owner.commits.empty();
    });
    CHECK(bench.owner.commits[0].answer.body.find("0123") != std::string::npos);
    CHECK(bench.endpoints[0]->requests() + bench.endpoints[1]->requests() == 1);
}

TEST_CASE("a non-idempotent run that is lost is not repeated, and its resends are refused with run state unknown")
{
    EntryBench bench(2);
    bench.start();
    const auto script = [](const Exchange &exchange) {
        exchange->close();
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p", nonIdempotent(named), false);
    bench.untilEnd(answer);
    CHECK(answer->error("run") == "unknown");
    CHECK(bench.endpoints[0]->requests() + bench.endpoints[1]->requests() == 1);
    bench.until([&] {
        return !bench.owner.commits.empty();
    });
    CHECK(bench.owner.commits[0].answer.body.find("\"unknown\"") != std::string::npos);
}

TEST_CASE("a non-idempotent run that the endpoint answers with an error is not repeated")
{
    EntryBench bench(2);
    bench.start();
    const auto script = [](const Exchange &exchange) {
        exchange->answer(500, "{\"broken\":true}");
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p", nonIdempotent(named), false);
    bench.untilEnd(answer);
    CHECK(answer->status == 500);
    CHECK(bench.endpoints[0]->requests() + bench.endpoints[1]->requests() == 1);
}

TEST_CASE("an endpoint's 429 is not stored as the answer: another endpoint serves the request")
{
    EntryBench bench(2);
    bench.start();
    std::size_t requestCount = 0;
    const auto script = [&](const Exchange &exchange) {
        if (++requestCount == 1) {
            exchange->answer(429, "{}");
        } else {
            serveFourTokens(exchange);
        }
    };
    bench.endpoints[0]->setScript(script);
    bench.endpoints[1]->setScript(script);
    const auto answer = bench.complete("p");
    bench.untilEnd(answer);
    CHECK(answer->text() == "0123");
}

TEST_CASE("a run whose caller disconnects is finished and its result stored")
{
    EntryBench bench(1);
    bench.start();
    bench.endpoints[0]->setScript([&](const Exchange &exchange) {
        bench.client.cancel(bench.lastExchange);
        bench.loop.schedule(std::chrono::milliseconds(10), [exchange] {
            serveFourTokens(exchange);
        });
    });
    bench.complete("p", named);
    bench.until([&] {
        return !bench.owner.commits.empty();
    });
    CHECK(bench.owner.commits[0].answer.body.find("0123") != std::string::npos);
}

TEST_CASE("a result that no owner accepts is sent at the deadline, marked as pending, and committed later")
{
    // The owner does not answer when the run ends. The caller gets its answer; a resend finds the result once the
    // owner is back.
    EntryBench bench(1);
    bench.settings.peers.callTimeout = std::chrono::milliseconds(50);
    bench.owner.onCommit = [](const auto &, const auto &) {};
    bench.start();
    bench.endpoints[0]->setScript(serveFourTokens);
    const auto answer = bench.complete("p", withDeadline("150", named), false);
    bench.untilEnd(answer);
    CHECK(answer->status == 200);
    CHECK(headerValue(answer->headers, "Dogwoodkeel-Result") == "pending");
    const std::size_t before = bench.owner.commits.size();
    bench.until([&] {
        return bench.owner.commits.size() > before;
    });
}

TEST_CASE("a stream that another run's result superseded does not end as if it were the answer")
{
    EntryBench bench(1);
    bench.owner.onCommit = [](const CommitRequest &request, const auto &respond) {
        Answer other = request.answer;
        other.body = R"({"choices":[{"text":"other","finish_reason":"stop"}]})";
        respond({CommitDecision::Superseded, other});
    };
    bench.start();
    bench.endpoints[0]->setScript(serveFourTokens);
    const auto streamed = bench.complete("p", named);
    bench.untilEnd(streamed);
    CHECK(streamed->body.find("superseded") != std::string::npos);
    CHECK(streamed->body.find("[DONE]") == std::string::npos);
    const auto whole = bench.complete("p", named, false);
    bench.untilEnd(whole);
    CHECK(whole->body.find("other") != std::string::npos);
}

TEST_CASE("a refusal that supersedes a stream ends the stream")
{
    // A resend at another node was refused and that refusal was committed first: the caller must not wait forever.
    EntryBench bench(1);
    bench.owner.onCommit = [](const CommitRequest &, const auto &respond) {
        respond({CommitDecision::Superseded, {503, "application/json", "{}"}});
    };
    bench.start();
    bench.endpoints[0]->setScript(serveFourTokens);
    const auto answer = bench.complete("p", named);
    bench.untilEnd(answer);
    CHECK(answer->end == ExchangeEnd::Complete);
    CHECK(answer->body.find("superseded") != std::string::npos);
}

TEST_CASE("a deadline that is not a positive number of milliseconds is refused")
{
    EntryBench bench(1);
    bench.start();
    for (const char *const wrong : {"soon", "0", "-5", "10x", ""}) {
        const auto answer = bench.complete("p", withDeadline(wrong));
        bench.untilEnd(answer);
        CHECK(answer->status == 400);
    }
}

TEST_CASE("in a total outage the retry budget keeps the attempts near the number of requests")
{
    EntryBench bench(3);
    bench.settings.retries.burst = 2;
    bench.settings.retries.perSecond = 0;
    bench.start();
    for (const auto &endpoint : bench.endpoints) {
        endpoint->setScript([](const Exchange &exchange) {
            exchange->answer(500, "{}");
        });
    }
    constexpr std::size_t requests = 20;
    for (std::size_t i = 0; i < requests; ++i) {
        bench.untilEnd(bench.complete("p" + std::to_string(i), {}, false));
    }
    std::size_t attempts = 0;
    for (const auto &endpoint : bench.endpoints) {
        attempts += endpoint->requests();
    }
    CHECK(attempts == requests + 2);
}
