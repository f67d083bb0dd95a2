#include <LibBase/SystemClock.h>
#include <LibProxy/CallerServer.h>
#include <LibProxy/ConnectProbe.h>
#include <LibTask/TaskHost.h>

#include <doctest/doctest.h>

#include <future>
#include <memory>

using namespace Dogwoodkeel;

namespace
{

/** Longer than any test takes. */
constexpr std::chrono::seconds timeout{60};

/** A probe and a server that can be stopped. */
class Probed
{
public:
    explicit Probed(EventLoop &loop)
        : loop(loop), server(loop, this->clock, {"127.0.0.1", 0}, {}, [](const std::shared_ptr<CallerExchange> &) {}), probe(loop)
    {
    }

    EventLoop &loop;
    SystemClock clock;
    CallerServer server;
    ConnectProbe probe;
};

ConnectOutcome outcomeAt(TaskHost<Probed> &host)
{
    std::promise<ConnectOutcome> outcome;
    host.post([&outcome](Probed &probed) {
        probed.probe.start(probed.server.address(), timeout, [&outcome](ConnectOutcome result) {
            outcome.set_value(result);
        });
    });
    return outcome.get_future().get();
}

} // namespace

TEST_CASE("a probe distinguishes a listening server from a stopped one")
{
    TaskHost<Probed> host("probe");
    CHECK(outcomeAt(host) == ConnectOutcome::Connected);
    host.ask<bool>([](Probed &probed) {
        probed.server.stopAccepting();
        return true;
    });
    CHECK(outcomeAt(host) == ConnectOutcome::Refused);
}

// A node may stop while a probe is in progress; the callback's target may no longer exist then.
TEST_CASE("a destroyed probe reports no outcome")
{
    TaskHost<Probed> host("probe");
    const auto isCalled = std::make_shared<bool>(false);
    host.ask<bool>([isCalled](Probed &probed) {
        ConnectProbe other(probed.loop);
        other.start(probed.server.address(), timeout, [isCalled](ConnectOutcome) {
            *isCalled = true;
        });
        return true;
    });
    // The outcome of this later probe arrives after that of the destroyed probe would have.
    CHECK(outcomeAt(host) == ConnectOutcome::Connected);
    CHECK_FALSE(host.ask<bool>([isCalled](Probed &) {
        return *isCalled;
    }));
}
