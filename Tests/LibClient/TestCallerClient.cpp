#include <LibClient/CallerClient.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/TaskHost.h>

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** Fake node: returns the configured entries, and answers all other requests with one status. */
class FakeNode
{
public:
    explicit FakeNode(EventLoop &loop)
        : server(loop, {"127.0.0.1", 0}, {65536}, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
            this->serve(request, reply);
        })
    {
    }

    HttpServer server;
    std::vector<Address> entries;
    int status = 200;
    std::vector<HttpRequest> requests;

private:
    void serve(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        if (request.path != "/v1/entries") {
            this->requests.push_back(request);
            reply->send({this->status, {}, "answer"});
            return;
        }
        nlohmann::json reported = nlohmann::json::array();
        for (const Address &entry : this->entries) {
            reported.push_back({{"address", entry.toString()}});
        }
        reply->send({200, {}, nlohmann::json({{"entries", reported}, {"ttl_seconds", 10}}).dump()});
    }
};

struct Node
{
    TaskHost<FakeNode> host{"node"};

    Address address()
    {
        return this->host.ask<Address>([](FakeNode &node) {
            return node.server.address();
        });
    }

    std::size_t requestCount()
    {
        return this->host.ask<std::size_t>([](FakeNode &node) {
            return node.requests.size();
        });
    }

    void set(std::vector<Address> entries, int status = 200)
    {
        this->host.ask<bool>([&](FakeNode &node) {
            node.entries = entries;
            node.status = status;
            return true;
        });
    }
};

/** Address on which nothing listens. */
const Address unreachable{"127.0.0.1", 1};

CallerClient::Options optionsFor(std::vector<Address> nodes)
{
    CallerClient::Options options;
    options.nodes = std::move(nodes);
    options.key = "secret";
    options.pause = std::chrono::milliseconds(1);
    return options;
}

} // namespace

TEST_CASE("The addresses that the system reports are used, with the key")
{
    Node queried;
    Node reported;
    queried.set({reported.address()});
    CallerClient client(optionsFor({queried.address()}));
    CHECK(client.call("GET", "/v1/batches/x").status == 200);
    CHECK(queried.requestCount() == 0);
    CHECK(reported.requestCount() == 1);
    const auto key = reported.host.ask<std::string>([](FakeNode &node) {
        return headerValue(node.requests.front().headers, "Authorization").value_or("");
    });
    CHECK(key == "Bearer secret");
}

// One reported node has departed, and another is unavailable. The client must try the next address at once, since there is no
// load balancer that would.
TEST_CASE("An address that gives no answer is followed by the next")
{
    Node queried;
    Node unavailable;
    Node good;
    unavailable.set({}, 503);
    queried.set({unreachable, unavailable.address(), good.address()});
    CallerClient client(optionsFor({unreachable, queried.address()}));
    CHECK(client.call("POST", "/v1/batches", "", "items").status == 200);
    CHECK(unavailable.requestCount() == 1);
    CHECK(good.requestCount() == 1);
}

TEST_CASE("When no node answers, the response has status 0 and the reason")
{
    CallerClient client(optionsFor({unreachable}));
    const HttpResponse answer = client.call("GET", "/v1/batches/x");
    CHECK(answer.status == 0);
    CHECK(answer.body == "no node answered");
}

TEST_CASE("A refusal is returned and not retried at another address")
{
    Node node;
    node.set({node.address(), node.address()}, 422);
    CallerClient client(optionsFor({node.address()}));
    CHECK(client.call("POST", "/v1/batches").status == 422);
    CHECK(node.requestCount() == 1);
}
