#pragma once

#include <Tests/ServiceGateway/RunningGateway.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Longer than callers use an address after it was withdrawn, and shorter than the grace period. */
inline constexpr std::chrono::seconds callersMoved{4};
/** Almost the grace period: the time of the last answers. */
inline constexpr std::chrono::seconds nearEnd{7};
inline constexpr const char *longDeadline = "X-Deadline-Ms: 20000\r\n";
inline constexpr const char *shortDeadline = "X-Deadline-Ms: 1000\r\n";
inline constexpr int slots = 2;

inline std::string requestText(const std::string &target, const std::string &id, const std::string &deadline = longDeadline)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n" + deadline + "Content-Length: 0\r\n\r\n";
}

/** A node whose replicas hold their requests until the test answers them. */
class StoppingNode : public RunningGateway
{
public:
    StoppingNode()
        : RunningGateway([this](GatewayBench &bench) {
            // A job without a limit of waiting tokens is written to the store at once.
            nlohmann::json configuration = nlohmann::json::parse(benchConfiguration);
            configuration["routes"].back()["maxCount"] = 0;
            bench.configure(configuration.dump());
            bench.slots = slots;
            for (const char *const service : {"llm", "api"}) {
                bench.addReplica(std::string("i-") + service, service, [this](const std::shared_ptr<CallerExchange> &exchange) {
                    this->held.push_back(exchange);
                });
            }
        })
    {
    }

    ~StoppingNode()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->held.clear();
            return true;
        });
    }

    std::unique_ptr<RawConnection> connect()
    {
        return std::make_unique<RawConnection>(this->address(&Gateway::callerAddress));
    }

    /** Sends a request on a connection of its own and waits until a replica has it. */
    std::unique_ptr<RawConnection> sendToReplica(const std::string &target, const std::string &id)
    {
        std::unique_ptr<RawConnection> caller = this->connect();
        caller->send(requestText(target, id));
        await([this, &id] {
            return this->hasReceived(id);
        });
        return caller;
    }

    /** Starts a stream and reads its first event. The node has not announced that it closes the connection. */
    std::unique_ptr<RawConnection> startStream(const std::string &id)
    {
        std::unique_ptr<RawConnection> caller = this->sendToReplica("/o/x", id);
        this->beginStreams();
        const std::string start = caller->readUntil("data: t1\n\n\r\n");
        REQUIRE_FALSE(has(start, "Connection: close"));
        return caller;
    }

    /** Takes all slots of the service of streams. */
    std::vector<std::unique_ptr<RawConnection>> fill()
    {
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (int number = 1; number <= slots; ++number) {
            callers.push_back(this->sendToReplica("/o/x", "full" + std::to_string(number)));
        }
        return callers;
    }

    /** Waits until the node has this many requests that wait for a slot. */
    void awaitWaiting(int count)
    {
        await([this, count] {
            return has(this->metrics(), "\"slots_requested\"} " + std::to_string(count) + "\n");
        });
    }

    bool hasReceived(const std::string &id)
    {
        return this->host.ask<bool>([&id](GatewayBench &bench) {
            for (const std::unique_ptr<StandInReplica> &replica : bench.replicas) {
                for (const MessageHead &head : replica->heads) {
                    if (head.headers.find("X-Request-Id") == id) {
                        return true;
                    }
                }
            }
            return false;
        });
    }

    void stop()
    {
        this->host.ask<bool>([this](GatewayBench &bench) {
            bench.gateway->stop([this] {
                this->isStopped = true;
            });
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

    /** Sends the first event of the streams that the replicas hold. */
    void beginStreams()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            for (const std::shared_ptr<CallerExchange> &exchange : this->held) {
                sendEvents(exchange, 1);
            }
            return true;
        });
    }

    /** Ends the streams, and answers the other requests that the replicas hold. */
    void answerHeld()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            for (const std::shared_ptr<CallerExchange> &exchange : std::exchange(this->held, {})) {
                if (exchange->isStarted()) {
                    exchange->end();
                } else {
                    answerWhole(exchange);
                }
            }
            return true;
        });
    }

    void awaitStopped()
    {
        await([this] {
            return this->host.ask<bool>([this](GatewayBench &) {
                return this->isStopped;
            });
        });
    }

private:
    std::vector<std::shared_ptr<CallerExchange>> held;
    bool isStopped = false;
};

/** Reads a stream to its end. */
inline void dropStream(RawConnection &caller)
{
    const std::string lastChunk = "\r\n0\r\n\r\n";
    const std::string received = caller.readUntil(lastChunk);
    REQUIRE(has(received, lastChunk));
    caller.drop(received.find(lastChunk) + lastChunk.size());
}

/** Stops a node while a stream runs, which ends once callers have moved. @return the connection of the stream, still open */
inline std::unique_ptr<RawConnection> keepConnection(StoppingNode &node)
{
    std::unique_ptr<RawConnection> caller = node.startStream("first");
    node.stop();
    node.advance(callersMoved);
    node.answerHeld();
    dropStream(*caller);
    return caller;
}

inline void checkRefused(const std::string &answer)
{
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(has(answer, "Connection: close\r\n"));
    CHECK(has(answer, "Retry-After"));
}

inline void checkMayHaveRun(const std::string &answer)
{
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(has(answer, "Connection: close\r\n"));
}

} // namespace Dogwoodkeel
