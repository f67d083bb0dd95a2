#include <Tests/ServiceGateway/RunningGateway.h>

#include <algorithm>
#include <string>

using namespace Dogwoodkeel;

namespace
{

/** More than it takes to tell the part apart from the others. */
constexpr int crashes = 5;
/** More than crash, as each incarnation of a replica crashes once. */
constexpr int replicas = 12;

bool isBad(const MessageHead &head)
{
    return has(std::string(head.headers.find("X-Prefix-Hash").value_or("")), "bad:");
}

/** A replica that crashes as it begins to answer a prompt with the bad part. */
void crashOnBadPart(const std::shared_ptr<CallerExchange> &exchange)
{
    if (isBad(exchange->head())) {
        exchange->begin(200, signedHeaders(exchange));
        exchange->breakOff();
        return;
    }
    streamWhole(exchange);
}

/** Nodes before replicas that crash on one part of a prompt. */
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

    /** @return how many requests with the bad part reached replicas. */
    std::size_t badRuns()
    {
        return this->host.ask<std::size_t>([](GatewayBench &bench) {
            std::size_t count = 0;
            for (const std::unique_ptr<StandInReplica> &replica : bench.replicas) {
                count += static_cast<std::size_t>(std::ranges::count_if(replica->heads, &isBad));
            }
            return count;
        });
    }

    /** Send a request that is like no other one. @return all of its answer */
    std::string send(const Address &node, const std::string &parts)
    {
        const std::string own = std::to_string(++this->lastRequest);
        RawConnection caller(node);
        caller.send("POST /o/" + own + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q" + own
                    + "\r\nX-Deadline-Ms: 20000\r\nX-Prefix-Hash: " + parts + ",own" + own
                    + ":30\r\nContent-Length: " + std::to_string(own.size()) + "\r\n\r\n" + own);
        return caller.readAll();
    }

    /** Send requests with the bad part until replicas have crashed under so many. */
    void crash(int count)
    {
        for (int number = 1; number <= count; ++number) {
            this->send(this->address(&Gateway::callerAddress), "shared:100,bad:50");
            await([this, number] {
                return has(this->metrics(), "request met a crash\"} " + std::to_string(number))
                    || this->badRuns() < static_cast<std::size_t>(number);
            });
            // The stand-ins go on as they were: a later crash is one of another incarnation.
            this->host.ask<bool>([](GatewayBench &bench) {
                bench.clock.shift(std::chrono::seconds(1));
                return true;
            });
        }
    }

    Address other(const Address &(Gateway::*which)() const)
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

// No two requests are alike, but all have one part of their prompts in common: each takes a replica away from everybody else.
TEST_CASE("requests with a prompt part under which replicas crashed are refused, and others with its other parts are served")
{
    CrashingReplicas running;
    const Address node = running.address(&Gateway::callerAddress);
    CHECK(has(running.send(node, "shared:100"), "id: 3\n"));
    running.crash(crashes);
    const std::size_t before = running.badRuns();
    CHECK(before <= crashes);
    for (int more = 0; more < crashes; ++more) {
        const std::string answer = running.send(node, "shared:100,bad:50");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(has(answer, "Retry-After:"));
        CHECK(running.send(node, "other:70,bad:50").starts_with("HTTP/1.1 503"));
    }
    CHECK(running.badRuns() == before);
    CHECK(has(running.send(node, "shared:100"), "id: 3\n"));
    CHECK(has(running.send(node, "shared:100,good:50"), "id: 3\n"));
}

// The requests come at any node: each would find out at the cost of as many replicas.
TEST_CASE("a prompt part under which replicas crashed is refused by all nodes, also by one that was started later")
{
    CrashingReplicas running;
    running.crash(crashes);
    const std::size_t before = running.badRuns();
    running.startOther();
    await([&running] {
        RawConnection reader(running.other(&Gateway::metricsAddress));
        reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return has(reader.readAll(), "prompt_parts_blocked\"} 1");
    });
    CHECK(running.send(running.other(&Gateway::callerAddress), "shared:100,bad:50").starts_with("HTTP/1.1 503"));
    CHECK(has(running.send(running.other(&Gateway::callerAddress), "shared:100"), "id: 3\n"));
    CHECK(running.badRuns() == before);
}
