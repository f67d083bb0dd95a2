#include <Services/Gateway/SlotHandle.h>
#include <Tests/ServiceGateway/RunningGateway.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr int eventsBeforeLoss = 2;

/** A replica that starts streams and holds them open. */
class HeldStreams : public RunningGateway
{
public:
    HeldStreams()
        : RunningGateway([this](GatewayBench &bench) {
            bench.addReplica("i-1", "llm", [this](const std::shared_ptr<CallerExchange> &exchange) {
                sendEvents(exchange, eventsBeforeLoss);
                this->held.push_back(exchange);
            });
        })
    {
    }

    ~HeldStreams()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->held.clear();
            return true;
        });
    }

    /** Ends the replica's process: all its streams break. */
    void endReplica()
    {
        this->host.ask<bool>([this](GatewayBench &bench) {
            bench.endReplica("i-1");
            for (const std::shared_ptr<CallerExchange> &exchange : std::exchange(this->held, {})) {
                exchange->abort();
            }
            return true;
        });
    }

    /** Starts a stream and reads its first events. */
    std::unique_ptr<RawConnection> startStream(const std::string &id)
    {
        auto caller = std::make_unique<RawConnection>(this->address(&Gateway::callerAddress));
        caller->send("POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                     + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
        caller->readUntil("id: 2\n");
        return caller;
    }

private:
    std::vector<std::shared_ptr<CallerExchange>> held;
};

} // namespace

TEST_CASE("a slot handle ends its request once, when it is released, replaced or destroyed")
{
    std::vector<SlotHandle::Ticket> ended;
    const auto end = [&ended](SlotHandle::Ticket ticket, PlacementVerdict, const RunTiming &) {
        ended.push_back(ticket);
    };
    {
        SlotHandle released(1, end);
        released.release(PlacementVerdict::Broken);
        SlotHandle replaced(2, end);
        replaced = SlotHandle(3, end);
        CHECK(ended == std::vector<SlotHandle::Ticket>{1, 2});
        const SlotHandle moved = std::move(replaced);
        CHECK(moved.ticket() == 3);
    }
    CHECK(ended == std::vector<SlotHandle::Ticket>{1, 2, 3});
}

// The only replica of a version crashes under streams that fill it, and is replaced. Streams that had ended kept its slots.
TEST_CASE("a stream that breaks and can't be resumed leaves no slot request behind")
{
    HeldStreams node;
    const std::unique_ptr<RawConnection> first = node.startStream("q1");
    const std::unique_ptr<RawConnection> second = node.startStream("q2");
    node.endReplica();
    first->readAll();
    second->readAll();
    CHECK(has(node.metrics(), "\"slots_requested\"} 0"));
    CHECK(has(node.metrics(), "\"slots_held\"} 0"));
    node.host.ask<bool>([](GatewayBench &bench) {
        bench.addReplica("i-2", "llm", streamWhole);
        return true;
    });
    CHECK(has(node.call("POST /r/x"), "id: 3\n"));
    CHECK(has(node.metrics(), "\"llm_online_running\"} 0"));
}
