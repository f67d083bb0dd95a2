#include <Tests/ServiceGateway/RunningGateway.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** More crashes than it takes to distinguish the part from the others. */
constexpr int crashes = 5;
/** Crashes that it takes if a prompt with the part was served recently. */
constexpr int crashesOfServedPart = 8;
/** More replicas than crash, as each incarnation of a replica crashes once. */
constexpr int replicas = 12;

/** Longer than it takes until an item may test a blocked part, also for another time. */
constexpr std::chrono::seconds testInterval{11};

bool hasBadPart(const MessageHead &head)
{
    return has(std::string(head.headers.find("X-Prefix-Hash").value_or("")), "bad:");
}

/** A gateway whose replicas crash on one part of a prompt, and a second node that a test can start. */
class CrashingReplicas : public RunningGateway
{
public:
    CrashingReplicas()
        : RunningGateway([this](GatewayBench &bench) {
            bench.configure(configurationWithLongPauses().dump());
            for (int number = 1; number <= replicas; ++number) {
                bench.addReplica("i-" + std::to_string(number), "llm", [this](const std::shared_ptr<CallerExchange> &exchange) {
                    this->handle(exchange);
                });
            }
        })
    {
    }

    /** What replicas do with a prompt that has the bad part. */
    enum class OnBadPart {
        Crash,
        /** Send two events, and the rest never. */
        Stall,
        Serve,
    };

    void setOnBadPart(OnBadPart behavior)
    {
        this->host.ask<bool>([this, behavior](GatewayBench &) {
            this->onBadPart = behavior;
            return true;
        });
    }

    /** Breaks the connections of all prompts that stall. */
    void breakStalled()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            for (const std::shared_ptr<CallerExchange> &exchange : std::exchange(this->stalled, {})) {
                exchange->abort();
            }
            return true;
        });
    }

    void advance(std::chrono::seconds time)
    {
        this->host.ask<bool>([time](GatewayBench &bench) {
            bench.clock.shift(time);
            return true;
        });
    }

    /** Submits a job whose items all differ, and have the bad part in their prompts. */
    void submitItems(int count)
    {
        nlohmann::json items = nlohmann::json::array();
        for (int number = 1; number <= count; ++number) {
            const std::string id = "item" + std::to_string(number);
            items.push_back({{"id", id},
                             {"path", "/b/" + id},
                             {"headers", {{"X-Prefix-Hash", "shared:100,bad:50," + id + ":30"}}},
                             {"body", ""},
                             {"tokens", 9}});
        }
        REQUIRE(this->call("POST /b/job", {}, nlohmann::json{{"requests", items}}.dump()).starts_with("HTTP/1.1 202"));
    }

    int itemsHeld()
    {
        const std::string text = this->metrics();
        const std::string label = "batch item held\"} ";
        const std::size_t position = text.find(label);
        return position == std::string::npos ? 0 : std::stoi(text.substr(position + label.size()));
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
            this->advance(std::chrono::seconds(1));
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
    void handle(const std::shared_ptr<CallerExchange> &exchange)
    {
        if (this->onBadPart == OnBadPart::Serve || !hasBadPart(exchange->head())) {
            streamWhole(exchange);
        } else if (this->onBadPart == OnBadPart::Stall) {
            sendEvents(exchange, 2);
            this->stalled.push_back(exchange);
        } else {
            exchange->begin(200, signedHeaders(exchange));
            exchange->abort();
        }
    }

    OnBadPart onBadPart = OnBadPart::Crash;
    std::vector<std::shared_ptr<CallerExchange>> stalled;
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

// The crashes had another cause, and all replicas are sound again. Without a test nothing shows that the part is harmless.
TEST_CASE("items with a blocked part are completed once replicas serve it again, and then online requests with it are served")
{
    constexpr int items = 3;
    CrashingReplicas running;
    running.crash(crashes);
    running.setOnBadPart(CrashingReplicas::OnBadPart::Serve);
    const Address node = running.address(&Gateway::callerAddress);
    REQUIRE(running.send(node, "shared:100,bad:50").starts_with("HTTP/1.1 503"));
    running.submitItems(items);
    await([&running] {
        return running.itemsHeld() >= items;
    });
    running.advance(testInterval);
    await([&running] {
        return has(running.call("GET /lots/q1?afterRev=0"), R"("next":3)");
    });
    CHECK_FALSE(has(running.call("GET /lots/q1?afterRev=0"), "abandoned"));
    CHECK(has(running.send(node, "shared:100,bad:50"), "id: 3\n"));
}

// The part is the cause of the crashes. If all items tested it at once, each would crash a replica.
TEST_CASE("items with a part that still crashes replicas test it one at a time")
{
    constexpr int items = 4;
    CrashingReplicas running;
    running.crash(crashes);
    running.submitItems(items);
    const std::size_t before = running.badPartRuns();
    for (std::size_t test = 1; test <= 2; ++test) {
        running.advance(testInterval);
        await([&running, before, test] {
            return running.badPartRuns() == before + test;
        });
        const int held = running.itemsHeld();
        await([&running, held] {
            return running.itemsHeld() >= held + items;
        });
        CHECK(running.badPartRuns() == before + test);
    }
}

// The item got its first events before the crashes. Only what its last run shows counts against the block.
TEST_CASE("an item that was served in part before the block unblocks the part when it is completed")
{
    CrashingReplicas running;
    const Address node = running.address(&Gateway::callerAddress);
    running.setOnBadPart(CrashingReplicas::OnBadPart::Stall);
    running.submitItems(1);
    await([&running] {
        return running.badPartRuns() == 1;
    });
    running.setOnBadPart(CrashingReplicas::OnBadPart::Crash);
    running.crash(crashesOfServedPart);
    running.breakStalled();
    await([&running] {
        return running.itemsHeld() >= 1;
    });
    REQUIRE(running.send(node, "shared:100,bad:50").starts_with("HTTP/1.1 503"));
    running.setOnBadPart(CrashingReplicas::OnBadPart::Serve);
    running.advance(testInterval);
    await([&running] {
        return has(running.call("GET /lots/q1?afterRev=0"), R"("state":"completed")");
    });
    CHECK(has(running.send(node, "shared:100,bad:50"), "id: 3\n"));
}
