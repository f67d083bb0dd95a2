#include <LibWire/Codec.h>
#include <LibWire/DatagramSocket.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <memory>
#include <optional>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** A node that is no member, and the senders of the answers that it received. */
struct SlotClient
{
    explicit SlotClient(GatewayBench &bench)
        : socket(bench.loop, {"127.0.0.1", 0}, MessageKey(bench.settings.peers.siteKey), [this](const Datagram &datagram) {
            if (datagram.number == PlacementAnswer::number) {
                this->answerSenders.push_back(datagram.from);
            }
        })
    {
    }

    DatagramSocket socket;
    std::vector<Address> answerSenders;
};

SlotRequest slotRequestFor(const std::string &service)
{
    SlotRequest slotRequest;
    slotRequest.from = SessionNumber(77);
    slotRequest.ticket = 1;
    slotRequest.service = service;
    slotRequest.objective = std::chrono::seconds(10);
    slotRequest.timeout = std::chrono::seconds(10);
    return slotRequest;
}

} // namespace

// All nodes have just started, and some do not know the dispatcher yet and send their slot requests to another node. If that node
// assigned slots as well, each replica would get twice as many requests as it has slots, and callers would wait in its queue for
// their first event.
TEST_CASE("a node that is not the dispatcher forwards slot requests to it")
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
    auto client = running.host.ask<std::shared_ptr<SlotClient>>([](GatewayBench &bench) {
        return std::make_shared<SlotClient>(bench);
    });
    // Either of the two may dispatch, depending on which claimed the role first; both have to name the same one.
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
            client->socket.send(member.gossip, slotRequestFor("llm"));
        }
        return true;
    });
    await([&] {
        return running.host.ask<bool>([&client](GatewayBench &) {
            return client->answerSenders.size() >= 2;
        });
    });
    running.host.ask<bool>([&](GatewayBench &) {
        for (const Address &from : client->answerSenders) {
            CHECK(from == *dispatcher);
        }
        client->answerSenders.clear();
        return true;
    });
    running.host.ask<bool>([client = std::move(client)](GatewayBench &) mutable {
        client.reset();
        return true;
    });
}
