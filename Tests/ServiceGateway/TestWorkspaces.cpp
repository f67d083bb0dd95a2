#include <Tests/ServiceGateway/RunningGateway.h>

#include <LibBase/Log.h>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

using Json = nlohmann::json;

/** The default configuration with two workspaces and a public route. */
std::string configurationWithKeys(int version = 1, const std::vector<std::string> &keysOfA = {"key-of-a", "second-key-of-a"})
{
    Json configuration = Json::parse(benchConfiguration);
    configuration["version"] = version;
    Json open = configuration["routes"][2];
    open["name"] = "open";
    open["prefix"] = "/open/";
    open["public"] = true;
    configuration["routes"].push_back(open);
    configuration["tenants"] = {
        {{"name", "a"}, {"apiKeys", keysOfA}, {"priority", 1}},
        {{"name", "b"}, {"apiKeys", {"key-of-b"}}, {"priority", 1}, {"ratePerS", 0.001}, {"burst", 2}},
    };
    return configuration.dump();
}

std::string withKey(const std::string &key)
{
    return "Authorization: Bearer " + key + "\r\n";
}

class NodeWithKeys : public RunningGateway
{
public:
    explicit NodeWithKeys(const StandInReplica::Script &script = answerWhole)
        : RunningGateway([&script](GatewayBench &bench) {
            bench.configure(configurationWithKeys());
            bench.settings.gateway.quotaSlack = 8;
            bench.settings.gateway.quotaOverrun = 0;
            bench.addReplica("i-1", "api", script);
            bench.addReplica("i-2", "llm", streamWhole);
        })
    {
    }

    /** @return the heads of the requests that a replica received. */
    std::vector<MessageHead> heads(std::size_t replica = 0)
    {
        return this->host.ask<std::vector<MessageHead>>([replica](GatewayBench &bench) {
            return bench.replicas[replica]->heads;
        });
    }
};

std::string submission(const std::string &headers = R"({"X-Model":"m"})")
{
    return R"({"requests":[{"id":"i","path":"/b/1","headers":)" + headers + R"(,"body":"AA==","tokens":10}]})";
}

/** Redirects standard output to a file until take() is called or the object is destroyed. */
class CapturedOutput
{
public:
    CapturedOutput() : file(std::tmpfile()), before(::dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        ::dup2(::fileno(this->file), STDOUT_FILENO);
    }

    ~CapturedOutput()
    {
        this->restore();
        std::fclose(this->file);
    }

    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    std::string take()
    {
        this->restore();
        std::rewind(this->file);
        std::string text;
        for (int character = std::fgetc(this->file); character != EOF; character = std::fgetc(this->file)) {
            text.push_back(static_cast<char>(character));
        }
        return text;
    }

private:
    void restore()
    {
        if (this->before >= 0) {
            std::fflush(stdout);
            ::dup2(this->before, STDOUT_FILENO);
            ::close(this->before);
            this->before = -1;
        }
    }

    std::FILE *file;
    int before;
};

} // namespace

TEST_CASE("a request with a key reaches its replica with the workspace's name and without the key")
{
    NodeWithKeys node;
    CHECK(node.call("POST /s/x", withKey("key-of-a")).starts_with("HTTP/1.1 200"));
    CHECK(node.call("POST /s/x", "authorization: bearer second-key-of-a\r\n").starts_with("HTTP/1.1 200"));
    for (const MessageHead &head : node.heads()) {
        CHECK(head.headers.count("Authorization") == 0);
        CHECK(head.headers.count("X-Tenant") == 1);
        CHECK(head.headers.find("X-Tenant") == "a");
    }
}

// Guards against a caller that sets the workspace itself, or whose key is forwarded to a replica.
TEST_CASE("only the system sets the workspace, also on a public route")
{
    NodeWithKeys node;
    const std::string forged = "X-Tenant: b\r\nx-tenant: c\r\nX-TENANT: d\r\n";
    CHECK(node.call("POST /s/x", withKey("key-of-a") + forged).starts_with("HTTP/1.1 200"));
    CHECK(node.call("POST /open/x", forged).starts_with("HTTP/1.1 200"));
    CHECK(node.call("POST /open/x", forged + "Authorization: Basic abc\r\nAUTHORIZATION: Bearer nobodys\r\n")
              .starts_with("HTTP/1.1 200"));
    CHECK(node.call("POST /open/x", forged + withKey("key-of-b")).starts_with("HTTP/1.1 200"));
    const std::vector<MessageHead> heads = node.heads();
    REQUIRE(heads.size() == 4);
    CHECK(heads[0].headers.find("X-Tenant") == "a");
    CHECK(heads[1].headers.count("X-Tenant") == 0);
    CHECK(heads[2].headers.count("X-Tenant") == 0);
    CHECK(heads[3].headers.find("X-Tenant") == "b");
    for (const MessageHead &head : heads) {
        CHECK(head.headers.count("Authorization") == 0);
    }
}

TEST_CASE("a request without a known key is refused with a challenge, and nothing runs")
{
    NodeWithKeys node;
    struct Case
    {
        std::string headers;
        std::string challenge;
    };
    for (const Case &one : {Case{"", "WWW-Authenticate: Bearer realm=\"dogwoodkeel\"\r\n"},
                            Case{withKey("nobodys"), "error=\"invalid_token\""},
                            Case{withKey(std::string(3000, 'k')), "error=\"invalid_request\""},
                            Case{"Authorization: Basic key-of-a\r\n", "error=\"invalid_request\""},
                            Case{withKey("key-of-a") + withKey("key-of-a"), "error=\"invalid_request\""}}) {
        for (const char *const call :
             {"POST /s/x", "POST /o/x", "POST /b/1", "GET /lots/q1", "DELETE /lots/q1", "GET /items/q1?id=i"}) {
            const std::string answer = node.call(call, one.headers);
            CHECK_MESSAGE(answer.starts_with("HTTP/1.1 401"), call);
            CHECK(has(answer, one.challenge));
        }
    }
    CHECK(node.call("POST /nowhere/x", withKey("nobodys")).starts_with("HTTP/1.1 404"));
    CHECK(node.heads().empty());
}

TEST_CASE("a revoked key is refused, and requests that started with it continue")
{
    NodeWithKeys node([](const std::shared_ptr<CallerExchange> &exchange) {
        if (exchange->head().target != "/s/slow") {
            answerWhole(exchange);
        }
    });
    RawConnection waiting(node.address(&Gateway::callerAddress));
    waiting.send("POST /s/slow HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 20000\r\nContent-Length: 0\r\n"
                 + withKey("key-of-a") + "\r\n");
    await([&node] {
        return node.heads().size() == 1;
    });
    node.host.ask<bool>([](GatewayBench &bench) {
        bench.configure(configurationWithKeys(2, {"second-key-of-a"}));
        return true;
    });
    await([&node] {
        return node.call("POST /s/x", withKey("key-of-a")).starts_with("HTTP/1.1 401");
    });
    CHECK(node.call("POST /s/x", withKey("second-key-of-a")).starts_with("HTTP/1.1 200"));
    CHECK_FALSE(waiting.isClosed());
}

TEST_CASE("a job is accessible with all keys of its workspace, and with no key of another")
{
    NodeWithKeys node;
    CHECK(node.call("POST /b/1", withKey("key-of-a"), submission()).starts_with("HTTP/1.1 202"));
    CHECK(node.call("POST /b/1", withKey("second-key-of-a"), submission()).starts_with("HTTP/1.1 202"));
    CHECK(node.call("GET /lots/q1", withKey("second-key-of-a")).starts_with("HTTP/1.1 200"));
    const std::string absent = node.call("GET /lots/none", withKey("key-of-b"));
    CHECK(absent.starts_with("HTTP/1.1 404"));
    CHECK(node.call("GET /lots/q1", withKey("key-of-b")) == absent);
    CHECK(node.call("GET /items/q1?id=i", withKey("key-of-b")).starts_with("HTTP/1.1 404"));
    CHECK(node.call("DELETE /lots/q1", withKey("key-of-b")).starts_with("HTTP/1.1 404"));
    CHECK(node.call("GET /lots/q1", withKey("key-of-a")).starts_with("HTTP/1.1 200"));
    // The same name in another workspace is another job.
    CHECK(node.call("POST /b/1", withKey("key-of-b"), submission()).starts_with("HTTP/1.1 202"));
    CHECK(node.call("DELETE /lots/q1", withKey("second-key-of-a")).starts_with("HTTP/1.1 200"));
    CHECK(node.call("GET /lots/q1", withKey("key-of-b")).starts_with("HTTP/1.1 200"));
}

TEST_CASE("items carry the name of their job's workspace, regardless of the submitted headers")
{
    NodeWithKeys node;
    const std::string forged = R"({"X-Model":"m","x-tenant":"b","Authorization":"Bearer key-of-b"})";
    CHECK(node.call("POST /b/1", withKey("key-of-a"), submission(forged)).starts_with("HTTP/1.1 202"));
    await([&node] {
        return node.heads(1).size() == 1;
    });
    const MessageHead head = node.heads(1)[0];
    CHECK(head.headers.count("X-Tenant") == 1);
    CHECK(head.headers.find("X-Tenant") == "a");
    CHECK(head.headers.count("Authorization") == 0);
    CHECK(head.headers.find("X-Model") == "m");
}

TEST_CASE("a workspace over its limit is refused with a retry time, and others are served")
{
    NodeWithKeys node;
    int served = 0;
    std::string refused;
    for (int request = 0; request < 4; ++request) {
        const std::string answer = node.call("POST /s/x", withKey("key-of-b"));
        served += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
        refused = answer.starts_with("HTTP/1.1 429") ? answer : refused;
    }
    CHECK(served == 2);
    CHECK(has(refused, "Retry-After: "));
    CHECK(node.call("POST /s/x", withKey("key-of-a")).starts_with("HTTP/1.1 200"));
}

// Guards against a key in anything that this system writes: neither readers of logs and metrics nor peers may obtain a key.
TEST_CASE("no key appears in logs, metrics, answers or rows")
{
    CapturedOutput output;
    startLog("vm", LogLevel::Debug);
    std::string answers;
    std::string rows;
    {
        NodeWithKeys node;
        answers += node.call("POST /s/x", withKey("key-of-a"), "body");
        answers += node.call("POST /s/x", withKey("key-of-nobody"));
        answers += node.call("POST /s/x", withKey("key-of-a") + withKey("key-of-b"));
        answers += node.call("POST /nowhere/x", withKey("key-of-a"));
        answers += node.call("POST /b/1", withKey("key-of-a"), submission());
        answers += node.call("GET /lots/q1", withKey("key-of-b"));
        for (int request = 0; request < 4; ++request) {
            answers += node.call("POST /s/x", withKey("key-of-b"));
        }
        answers += node.metrics();
        rows = node.host.ask<std::string>([](GatewayBench &bench) {
            std::string text;
            for (const char *const table : {"jobs", "jobs-open", "nodes"}) {
                for (const StoredRow &row : bench.store.rows().rowsOf(table)) {
                    text.append(row.key.part).append(row.key.key).append(row.value);
                }
            }
            return text;
        });
    }
    startLog("vm", LogLevel::Error);
    const std::string log = output.take();
    CHECK(has(log, "request over"));
    CHECK(has(log, "request rejected"));
    CHECK(has(rows, "head"));
    for (const std::string &text : {log, answers, rows}) {
        CHECK_FALSE(has(text, "key-of-"));
    }
}
