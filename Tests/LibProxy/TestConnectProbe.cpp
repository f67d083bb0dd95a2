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

/** A probe, and a server that may stop. */
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
        probed.probe.start(probed.server.address(), timeout, [&outcome](ConnectOutcome got) {
            outcome.set_value(got);
        });
    });
    return outcome.get_future().get();
}

} // namespace

TEST_CASE("a probe tells a server that listens from one that has stopped")
{
    TaskHost<Probed> host("probe");
    CHECK(outcomeAt(host) == ConnectOutcome::Connected);
    host.ask<bool>([](Probed &probed) {
        probed.server.stopAccepting();
        return true;
    });
    CHECK(outcomeAt(host) == ConnectOutcome::Refused);
}

// A node that stops while a replica is asked: nobody is there to be told.
TEST_CASE("a probe that is destroyed tells nothing more")
{
    TaskHost<Probed> host("probe");
    const auto isTold = std::make_shared<bool>(false);
    host.ask<bool>([isTold](Probed &probed) {
        ConnectProbe other(probed.loop);
        other.start(probed.server.address(), timeout, [isTold](ConnectOutcome) {
            *isTold = true;
        });
        return true;
    });
    // The outcome of a later one comes after that of the first would have come.
    CHECK(outcomeAt(host) == ConnectOutcome::Connected);
    CHECK_FALSE(host.ask<bool>([isTold](Probed &) {
        return *isTold;
    }));
}
