#include <LibWire/Codec.h>
#include <LibWire/DatagramSocket.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <memory>
#include <optional>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** A node of which the others know nothing, and what it was answered. */
struct Asker
{
    explicit Asker(GatewayBench &bench)
        : socket(bench.loop, {"127.0.0.1", 0}, MessageKey(bench.settings.peers.siteKey), [this](const Datagram &datagram) {
            if (datagram.number == PlacementAnswer::number) {
                this->answeredBy.push_back(datagram.from);
            }
        })
    {
    }

    DatagramSocket socket;
    std::vector<Address> answeredBy;
};

PlacementAsk askFor(const std::string &service)
{
    PlacementAsk ask;
    ask.from = SessionNumber(77);
    ask.ticket = 1;
    ask.service = service;
    ask.objective = std::chrono::seconds(10);
    ask.timeout = std::chrono::seconds(10);
    return ask;
}

} // namespace

// All nodes have just started, and some have not heard yet of the one that is to dispatch: they ask another. If that one gave
// places as well, each replica would get twice what it has slots for, and callers would wait in its queue for their first event.
TEST_CASE("a node that is asked in the dispatcher's stead passes the question on")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", ignore);
        bench.startOther();
    });
    await([&running] {
        return running.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->readyMembers() == 2 && bench.other->readyMembers() == 2;
        });
    });
    auto asker = running.host.ask<std::shared_ptr<Asker>>([](GatewayBench &bench) {
        return std::make_shared<Asker>(bench);
    });
    // Which of the two dispatches is up to who claimed it first; both have to name the same one.
    std::optional<Address> dispatcher;
    await([&running, &dispatcher] {
        return running.host.ask<bool>([&dispatcher](GatewayBench &bench) {
            const Member *const named = bench.gateway->dispatcherOf(ServiceName("llm"));
            const Member *const namedByOther = bench.other->dispatcherOf(ServiceName("llm"));
            const bool isAgreed = named != nullptr && namedByOther != nullptr && named->session == namedByOther->session;
            if (isAgreed) {
                dispatcher = named->gossip;
            }
            return isAgreed;
        });
    });
    running.host.ask<bool>([&](GatewayBench &bench) {
        const MemberViewPointer view = bench.gateway->roleView();
        for (const Member &member : view->members()) {
            asker->socket.send(member.gossip, askFor("llm"));
        }
        return true;
    });
    await([&] {
        return running.host.ask<bool>([&asker](GatewayBench &) {
            return asker->answeredBy.size() >= 2;
        });
    });
    running.host.ask<bool>([&](GatewayBench &) {
        for (const Address &from : asker->answeredBy) {
            CHECK(from == *dispatcher);
        }
        asker->answeredBy.clear();
        return true;
    });
    running.host.ask<bool>([asker = std::move(asker)](GatewayBench &) mutable {
        asker.reset();
        return true;
    });
}
