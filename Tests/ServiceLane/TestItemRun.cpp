#include <LibBase/SystemClock.h>
#include <LibHttp/ServerSentEvents.h>
#include <LibTask/EventLoop.h>
#include <Services/Lane/ItemRun.h>
#include <Tests/Fakes/ScriptedEndpoint.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** How a run ended. */
struct Outcome
{
    RunEnd end = RunEnd::Lost;
    std::string detail;
    std::uint32_t tokens = 0;
};

Outcome runAgainst(const std::vector<std::string> &events)
{
    EventLoop loop;
    const SystemClock clock;
    HttpClient http(loop);
    ScriptedEndpoint endpoint(loop, [&events](const auto &exchange) {
        std::string body;
        for (const std::string &event : events) {
            body += ServerSentEvents::format(event);
        }
        exchange->answer(200, body);
    });
    HeldItem held;
    held.item.body = R"({"messages":[]})";
    const auto run = std::make_shared<ItemRun>(http, clock, held, "run");
    Outcome outcome;
    ItemRun::Hooks hooks;
    hooks.firstToken = [] {};
    hooks.gap = [](std::chrono::nanoseconds) {};
    hooks.ended = [&](RunEnd end, const std::string &detail) {
        outcome = {end, detail, run->held().tokens};
        loop.stop();
    };
    run->start(endpoint.address(), ConnectionChoice::Fresh, std::move(hooks));
    loop.run();
    return outcome;
}

} // namespace

// The API allows an engine to start a chat stream with an event that has a role and null content, and an engine may send
// malformed events. Reading the null as a string throws out of the event loop and ends the node with all its items and
// requests; the item then does the same to the next node.
TEST_CASE("an event without text is ignored and counts as no token")
{
    const Outcome outcome = runAgainst({R"({"choices":[{"delta":{"role":"assistant","content":null}}]})",
                                        R"({"choices":[{"text":null}]})",
                                        R"({"choices":[{"delta":null}]})",
                                        R"({"choices":{"a":1}})",
                                        "no JSON",
                                        R"({"choices":[{"delta":{"content":"a"},"finish_reason":null}]})",
                                        R"({"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]})",
                                        "[DONE]"});
    CHECK(outcome.end == RunEnd::Finished);
    CHECK(outcome.tokens == 2);
    const auto result = nlohmann::json::parse(outcome.detail);
    CHECK(result["text"] == "ab");
    CHECK(result["finish_reason"] == "stop");
}

namespace
{

/** @return how often a stopped run reports a confirmed cancellation, if the engine answers it with that status. */
int confirmationsWith(int cancelStatus)
{
    EventLoop loop;
    const SystemClock clock;
    HttpClient http(loop);
    int confirmations = 0;
    std::shared_ptr<ItemRun> run;
    ScriptedEndpoint endpoint(loop, [&](const auto &exchange) {
        if (exchange->head.starts_with("POST /cancel")) {
            exchange->answer(cancelStatus, "{}");
            return;
        }
        run->stop([&confirmations](std::chrono::nanoseconds passed) {
            confirmations += passed.count() > 0 ? 1 : 0;
        });
    });
    HeldItem held;
    held.item.body = R"({"prompt":"p"})";
    run = std::make_shared<ItemRun>(http, clock, held, "run");
    run->start(endpoint.address(), ConnectionChoice::Fresh, {});
    // A later request on a connection of its own is answered after the cancellation.
    bool isOver = false;
    std::function<void()> poll = [&] {
        if (endpoint.requests() >= 2 && !std::exchange(isOver, true)) {
            http.fetch(
                endpoint.address(), {.method = "POST", .path = "/cancel"}, std::chrono::seconds(10), [&](auto, const auto &) {
                    loop.stop();
                });
        } else if (!isOver) {
            loop.schedule(std::chrono::milliseconds(1), poll);
        }
    };
    loop.post(poll);
    loop.run();
    return confirmations;
}

} // namespace

// Guards against a reaction time that is never measured: a lane would keep slots free by the response time of load reports only.
TEST_CASE("a cancellation that the engine confirms is reported, and another one is not")
{
    CHECK(confirmationsWith(200) == 1);
    CHECK(confirmationsWith(500) == 0);
}
