#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds runTime{100};
constexpr std::chrono::seconds timeout{6};

/** A dispatcher of two slots that has observed runs of 100 ms, so that it serves 20 requests per second. */
class OverloadFixture
{
public:
    OverloadFixture()
    {
        this->dispatcher.setReplicas(equalReplicas(1, 2));
        for (int run = 0; run < 100; ++run) {
            this->endRun(this->submit(run % 2 == 0 ? "a" : "b"));
        }
    }

    std::uint64_t
    submit(const std::string &workspace, std::uint64_t content = 0, std::chrono::milliseconds objective = runTime * 3)
    {
        PlacementRequest request;
        request.id = {SessionNumber(1), ++this->lastTicket};
        request.arrived = this->clock.now();
        request.due = this->clock.now() + objective;
        request.deadline = this->clock.now() + timeout;
        request.content = content != 0 ? content : 1000 + this->lastTicket;
        request.mayRefuse = true;
        request.workspace = WorkspaceName(workspace);
        request.cost = 10;
        this->dispatcher.submit(request);
        return this->lastTicket;
    }

    void endRun(std::uint64_t ticket)
    {
        this->clock.advance(runTime);
        this->dispatcher.end({SessionNumber(1), ticket}, PlacementVerdict::Finished);
    }

    ManualClock clock;
    std::set<std::uint64_t> placed;
    std::map<std::uint64_t, std::chrono::milliseconds> refused;
    std::uint64_t lastTicket = 0;
    Dispatcher dispatcher{this->clock,
                          {.place =
                               [this](TicketId id, const EndpointName &) {
                                   this->placed.insert(id.number);
                               },
                           .stop = [](TicketId) {},
                           .refuse =
                               [this](TicketId id, std::chrono::milliseconds retryAfter) {
                                   this->refused[id.number] = retryAfter;
                               }}};
};

} // namespace

// Guards against refusals that come back too early or too late, and against callers that are refused twice for the same backlog.
TEST_CASE("a request is refused for its workspace's backlog until that is served, and is not refused again")
{
    OverloadFixture fixture;
    const std::uint64_t running = fixture.submit("a");
    const std::uint64_t alsoRunning = fixture.submit("b");
    const std::uint64_t other = fixture.submit("b");
    std::uint64_t last = 0;
    for (std::uint64_t content = 1; content <= 30 && fixture.refused.empty(); ++content) {
        last = fixture.submit("a", content);
    }
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused.contains(last));
    // The other workspace has waiting requests too, so half of 20 requests per second are served for this one.
    const std::size_t backlog = last - other - 1;
    CHECK(fixture.refused[last].count() == doctest::Approx(100 * backlog).epsilon(0.5));
    CHECK(fixture.refused[last] > std::chrono::milliseconds(300));
    CHECK(fixture.dispatcher.load().shareRefusals == 1);
    CHECK(fixture.dispatcher.load().waitingWorkspaces == 2);
    fixture.submit("b");
    CHECK(fixture.refused.size() == 1);

    fixture.clock.advance(fixture.refused[last]);
    const std::uint64_t retry = fixture.submit("a", last - other);
    fixture.endRun(running);
    fixture.endRun(alsoRunning);
    fixture.dispatcher.tick();
    CHECK_FALSE(fixture.refused.contains(retry));
    for (std::uint64_t ticket = other; ticket <= fixture.lastTicket; ++ticket) {
        fixture.endRun(ticket);
    }
    CHECK(fixture.placed.contains(retry));
}

// Guards against a delay that callers do not honour.
TEST_CASE("the delay of a refusal is at most a third of the caller's remaining time")
{
    OverloadFixture fixture;
    for (int number = 0; number < 3; ++number) {
        fixture.submit("b");
    }
    std::uint64_t content = 0;
    while (content < 200 && fixture.refused.empty()) {
        fixture.submit("a", ++content, std::chrono::seconds(4));
    }
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused.begin()->second == timeout / retryAfterDivisor);
}

// Guards against refusals where no other workspace needs the slots.
TEST_CASE("a workspace that is alone is not refused for its backlog")
{
    OverloadFixture fixture;
    for (std::uint64_t ticket = 0; ticket < 100; ++ticket) {
        fixture.endRun(fixture.submit("a"));
    }
    for (std::uint64_t content = 1; content <= 30; ++content) {
        fixture.submit("a", content);
    }
    CHECK(fixture.dispatcher.load().shareRefusals == 0);
}
