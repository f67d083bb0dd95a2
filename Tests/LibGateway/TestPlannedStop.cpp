#include <LibBase/ManualClock.h>
#include <LibGateway/PlannedStop.h>

#include <doctest/doctest.h>

#include <vector>

using namespace Dogwoodkeel;

namespace
{

using Phase = PlannedStop::Phase;
using Milliseconds = std::chrono::milliseconds;

struct Stopping
{
    ManualClock clock;
    PlannedStop stop{clock, Milliseconds(8000), Milliseconds(1000)};

    /** @return whether a request may be served whose deadline is this long after now. */
    bool mayServe(int milliseconds) const
    {
        return this->stop.mayServe(this->clock.now() + Milliseconds(milliseconds));
    }
};

} // namespace

TEST_CASE("a node that does not stop serves every request")
{
    Stopping node;
    node.clock.advance(std::chrono::hours(1));
    node.stop.update();
    CHECK(node.stop.phase() == Phase::Serving);
    CHECK(node.mayServe(60000));
}

// Requests taken late in the grace period were cut at the end of it.
TEST_CASE("once callers no longer use its address, a stopping node serves only what ends before its last answers")
{
    Stopping node;
    node.stop.begin();
    node.clock.advance(Milliseconds(2999));
    CHECK(node.stop.phase() == Phase::Withdrawn);
    CHECK(node.mayServe(60000));
    node.clock.advance(Milliseconds(1));
    CHECK(node.stop.phase() == Phase::Finishing);
    CHECK(node.mayServe(3999));
    CHECK_FALSE(node.mayServe(4000));
    node.clock.advance(Milliseconds(3999));
    CHECK(node.mayServe(0));
    node.clock.advance(Milliseconds(1));
    CHECK(node.stop.phase() == Phase::LastAnswers);
    CHECK_FALSE(node.mayServe(0));
    node.clock.advance(Milliseconds(300));
    CHECK(node.stop.phase() == Phase::Over);
}

// A process that stands still during its stop wakes in a later phase; what waits must still be refused before the end.
TEST_CASE("observers are notified of each phase once, also of those that passed unnoticed")
{
    Stopping node;
    std::vector<Phase> phases;
    node.stop.observe([&phases](Phase phase) {
        phases.push_back(phase);
    });
    node.stop.begin();
    node.clock.advance(Milliseconds(7100));
    node.stop.update();
    node.stop.update();
    CHECK(phases == std::vector{Phase::Withdrawn, Phase::Finishing, Phase::LastAnswers});
}

TEST_CASE("an observer may remove itself and others")
{
    Stopping node;
    int calls = 0;
    constexpr int observers = 3;
    std::vector<PlannedStop::Ticket> tickets;
    tickets.reserve(observers);
    for (int observer = 0; observer < observers; ++observer) {
        tickets.push_back(node.stop.observe([&](Phase) {
            ++calls;
            for (const PlannedStop::Ticket ticket : tickets) {
                node.stop.remove(ticket);
            }
        }));
    }
    node.stop.begin();
    CHECK(calls == 1);
}
