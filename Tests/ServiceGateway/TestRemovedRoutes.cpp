#include <Tests/ServiceGateway/RunningGateway.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** Longer than the route of an item has to be missing until the item is given up. */
constexpr std::chrono::seconds afterGrace{6};

/** A node with one replica of two slots, which holds all requests until the test lets it complete them. */
class NodeWithJob : public RunningGateway
{
public:
    using Json = nlohmann::json;

    explicit NodeWithJob(const std::string &replicaService = "llm")
        : RunningGateway([this, &replicaService](GatewayBench &bench) {
            bench.configure(configurationWithLongPauses().dump());
            bench.addReplica("i-1", replicaService, [this](const std::shared_ptr<CallerExchange> &exchange) {
                this->handle(exchange);
            });
        })
    {
    }

    ~NodeWithJob()
    {
        this->breakHeld();
    }

    void submit(int count)
    {
        Json items = Json::array();
        for (int number = 1; number <= count; ++number) {
            const std::string id = "item" + std::to_string(number);
            items.push_back({{"id", id}, {"path", "/b/" + id}, {"body", ""}, {"tokens", 9}});
        }
        REQUIRE(this->call("POST /b/job", {}, Json{{"requests", items}}.dump()).starts_with("HTTP/1.1 202"));
    }

    /** Puts a newer version into force, in which the batch route is as the change leaves it. */
    void configure(int version, const std::function<void(Json &routes, std::size_t batch)> &change)
    {
        Json configuration = configurationWithLongPauses();
        configuration["version"] = version;
        Json &routes = configuration["routes"];
        change(routes, routes.size() - 1);
        routes.push_back({{"name", "probe"},
                          {"host", "h"},
                          {"prefix", "/v" + std::to_string(version) + "/"},
                          {"routeKind", "safe"},
                          {"service", "none"},
                          {"timeoutMs", 1}});
        this->host.ask<bool>([&configuration](GatewayBench &bench) {
            bench.configure(configuration.dump());
            return true;
        });
        await([this, version] {
            return !this->call("POST /v" + std::to_string(version) + "/x").starts_with("HTTP/1.1 404");
        });
    }

    void removeRoute(int version)
    {
        this->configure(version, [](Json &routes, std::size_t batch) {
            routes.erase(batch);
        });
    }

    void awaitUnrouted(int count)
    {
        await([this, count] {
            return has(this->metrics(), "batch item without a route\"} " + std::to_string(count));
        });
    }

    void advance(std::chrono::seconds time)
    {
        this->host.ask<bool>([time](GatewayBench &bench) {
            bench.clock.shift(time);
            return true;
        });
    }

    std::size_t sent()
    {
        return this->host.ask<std::size_t>([](GatewayBench &bench) {
            return bench.replicas.front()->heads.size();
        });
    }

    void awaitSent(std::size_t count)
    {
        await([this, count] {
            return this->sent() == count;
        });
    }

    void completeHeld()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            for (const std::shared_ptr<CallerExchange> &exchange : std::exchange(this->held, {})) {
                exchange->write("id: 1\ndata: t\n\n");
                exchange->end();
            }
            return true;
        });
    }

    void breakHeld()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            for (const std::shared_ptr<CallerExchange> &exchange : std::exchange(this->held, {})) {
                exchange->abort();
            }
            return true;
        });
    }

    /** Lets the replica answer all later requests with an error. */
    void startFailing()
    {
        this->host.ask<bool>([this](GatewayBench &) {
            this->isFailing = true;
            return true;
        });
    }

    /** @return how many items are listed with a state. */
    std::size_t listed(const std::string &state)
    {
        const std::string answer = this->call("GET /lots/q1?afterRev=0");
        const Json body = Json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
        std::size_t count = 0;
        for (const Json &result : body.is_object() ? body["results"] : Json::array()) {
            count += result["state"] == state ? 1 : 0;
        }
        return count;
    }

    void awaitListed(const std::string &state, std::size_t count)
    {
        await([this, &state, count] {
            return this->listed(state) == count;
        });
    }

private:
    void handle(const std::shared_ptr<CallerExchange> &exchange)
    {
        if (this->isFailing) {
            exchange->send(500, signedHeaders(exchange), {});
            return;
        }
        exchange->begin(200, signedHeaders(exchange));
        this->held.push_back(exchange);
    }

    bool isFailing = false;
    std::vector<std::shared_ptr<CallerExchange>> held;
};

} // namespace

// A version removes the route of an open job. Its limits went with it, so that the items that wait were never listed.
TEST_CASE("items whose route is removed are listed as abandoned without a run, and those that run are completed")
{
    NodeWithJob node;
    node.submit(4);
    node.awaitSent(2);
    node.removeRoute(2);
    node.awaitUnrouted(2);
    node.advance(afterGrace);
    node.awaitListed("abandoned", 2);
    CHECK(node.sent() == 2);
    node.completeHeld();
    node.awaitListed("completed", 2);
    CHECK(node.sent() == 2);
}

// Versions come in quick succession, and one of them lacks the route by mistake.
TEST_CASE("items whose route is removed and soon restored are completed")
{
    NodeWithJob node;
    node.submit(3);
    node.awaitSent(2);
    node.removeRoute(2);
    node.awaitUnrouted(1);
    node.configure(3, [](NodeWithJob::Json &, std::size_t) {});
    node.completeHeld();
    node.awaitSent(3);
    node.advance(afterGrace);
    node.completeHeld();
    node.awaitListed("completed", 3);
}

// No replica is left that could free a slot, which was the only event at which a waiting item read the configuration again.
TEST_CASE("an item that waits for a service without replicas is given up once its route is removed")
{
    NodeWithJob node("api");
    node.submit(1);
    await([&node] {
        return has(node.metrics(), "llm_batch_waiting\"} 1");
    });
    node.removeRoute(2);
    node.awaitUnrouted(1);
    node.advance(afterGrace);
    node.awaitListed("abandoned", 1);
    CHECK(node.sent() == 0);
}

// The route moves to another service because the former one has no replicas any more.
TEST_CASE("an item that waits for a service without replicas runs at the service that its route moves to")
{
    NodeWithJob node("api");
    node.submit(1);
    await([&node] {
        return has(node.metrics(), "llm_batch_waiting\"} 1");
    });
    node.configure(2, [](NodeWithJob::Json &routes, std::size_t batch) {
        routes[batch]["service"] = "api";
    });
    node.awaitSent(1);
    node.completeHeld();
    node.awaitListed("completed", 1);
}

// The limits of attempts and of retention were those of the route by its name only, so that failing items were sent for ever.
TEST_CASE("an item whose route got another name is given up by the limits of that route")
{
    NodeWithJob node;
    node.submit(1);
    node.awaitSent(1);
    node.configure(2, [](NodeWithJob::Json &routes, std::size_t batch) {
        routes[batch]["name"] = "renamed";
    });
    node.startFailing();
    node.breakHeld();
    node.awaitListed("abandoned", 1);
    constexpr std::size_t maxAttempts = 2;
    CHECK(node.sent() == 1 + maxAttempts);
}

// The node that ran the job is lost, and its successor never saw a version with the route.
TEST_CASE("a node that takes over a job whose route was removed lists its items as abandoned")
{
    NodeWithJob node;
    node.submit(1);
    node.awaitSent(1);
    node.host.ask<bool>([](GatewayBench &bench) {
        bench.gateway.reset();
        NodeWithJob::Json configuration = configurationWithLongPauses();
        configuration["version"] = 2;
        configuration["routes"].erase(configuration["routes"].size() - 1);
        bench.configure(configuration.dump());
        bench.start();
        return true;
    });
    node.awaitUnrouted(1);
    node.advance(afterGrace);
    node.awaitListed("abandoned", 1);
    CHECK(node.sent() == 1);
}
