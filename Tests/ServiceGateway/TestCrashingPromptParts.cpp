#include <Tests/ServiceGateway/RunningGateway.h>

#include <algorithm>
#include <string>

using namespace Dogwoodkeel;

namespace
{

/** More crashes than it takes to distinguish the part from the others. */
constexpr int crashes = 5;
/** More replicas than crash, as each incarnation of a replica crashes once. */
constexpr int replicas = 12;

bool hasBadPart(const MessageHead &head)
{
    return has(std::string(head.headers.find("X-Prefix-Hash").value_or("")), "bad:");
}

/** Crashes when the replica starts to answer a prompt with the bad part. */
void crashOnBadPart(const std::shared_ptr<CallerExchange> &exchange)
{
    if (hasBadPart(exchange->head())) {
        exchange->begin(200, signedHeaders(exchange));
        exchange->abort();
        return;
    }
    streamWhole(exchange);
}

/** A gateway whose replicas crash on one part of a prompt, and a second node that a test can start. */
class CrashingReplicas : public RunningGateway
{
public:
    CrashingReplicas()
        : RunningGateway([](GatewayBench &bench) {
            for (int number = 1; number <= replicas; ++number) {
                bench.addReplica("i-" + std::to_string(number), "llm", crashOnBadPart);
            }
        })
    {
    }

    /** @return how many requests with the bad part have reached replicas. */
    std::size_t badPartRuns()
    {
        return this->host.ask<std::size_t>([](GatewayBench &bench) {
            std::size_t count = 0;
            for (const std::unique_ptr<StandInReplica> &replica : bench.replicas) {
                count += static_cast<std::size_t>(std::ranges::count_if(replica->heads, &hasBadPart));
            }
            return count;
        });
    }

    /** Sends a request that differs from all others. @return the whole answer */
    std::string send(const Address &node, const std::string &parts)
    {
        const std::string number = std::to_string(++this->lastRequest);
        RawConnection caller(node);
        caller.send("POST /o/" + number + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q" + number
                    + "\r\nX-Deadline-Ms: 20000\r\nX-Prefix-Hash: " + parts + ",own" + number
                    + ":30\r\nContent-Length: " + std::to_string(number.size()) + "\r\n\r\n" + number);
        return caller.readAll();
    }

    /** Sends requests with the bad part until this many have crashed replicas. */
    void crash(int count)
    {
        for (int number = 1; number <= count; ++number) {
            this->send(this->address(&Gateway::callerAddress), "shared:100,bad:50");
            await([this, number] {
                return has(this->metrics(), "request met a crash\"} " + std::to_string(number))
                    || this->badPartRuns() < static_cast<std::size_t>(number);
            });
            // The stand-in replicas continue to run; a later crash counts as one of another incarnation.
            this->host.ask<bool>([](GatewayBench &bench) {
                bench.clock.shift(std::chrono::seconds(1));
                return true;
            });
        }
    }

    Address otherAddress(const Address &(Gateway::*which)() const)
    {
        return this->host.ask<Address>([which](GatewayBench &bench) {
            return (bench.other.get()->*which)();
        });
    }

    void startOther()
    {
        this->host.ask<bool>([](GatewayBench &bench) {
            bench.startOther();
            return true;
        });
        await([this] {
            return this->host.ask<bool>([](GatewayBench &bench) {
                return bench.gateway->readyMembers() == 2 && bench.other->readyMembers() == 2;
            });
        });
    }

private:
    int lastRequest = 0;
};

} // namespace

// No two requests are alike, but all share one part of their prompts, and each would crash a replica.
TEST_CASE("requests with a prompt part that crashes replicas are refused, and others with their other parts are served")
{
    CrashingReplicas running;
    const Address node = running.address(&Gateway::callerAddress);
    CHECK(has(running.send(node, "shared:100"), "id: 3\n"));
    running.crash(crashes);
    const std::size_t before = running.badPartRuns();
    CHECK(before <= crashes);
    for (int more = 0; more < crashes; ++more) {
        const std::string answer = running.send(node, "shared:100,bad:50");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(has(answer, "Retry-After:"));
        CHECK(running.send(node, "other:70,bad:50").starts_with("HTTP/1.1 503"));
    }
    CHECK(running.badPartRuns() == before);
    CHECK(has(running.send(node, "shared:100"), "id: 3\n"));
    CHECK(has(running.send(node, "shared:100,good:50"), "id: 3\n"));
}

// The requests arrive at any node. Without an exchange, each node would lose as many replicas before it blocks the part.
TEST_CASE("a prompt part that crashes replicas is refused by all nodes, including one that was started later")
{
    CrashingReplicas running;
    running.crash(crashes);
    const std::size_t before = running.badPartRuns();
    running.startOther();
    await([&running] {
        RawConnection reader(running.otherAddress(&Gateway::metricsAddress));
        reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return has(reader.readAll(), "prompt_parts_blocked\"} 1");
    });
    CHECK(running.send(running.otherAddress(&Gateway::callerAddress), "shared:100,bad:50").starts_with("HTTP/1.1 503"));
    CHECK(has(running.send(running.otherAddress(&Gateway::callerAddress), "shared:100"), "id: 3\n"));
    CHECK(running.badPartRuns() == before);
}
