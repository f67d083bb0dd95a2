#include <LibBase/Encoding.h>
#include <Tests/Processes/GatewayProcesses.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** Enough that some accept requests although each is avoided for a while after it has broken a connection. */
constexpr int replicasPerService = 64;

const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\nContent-Type: text/event-stream\r\n";

std::string framedHead(std::size_t bodyBytes)
{
    return signedHead + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

/** @return the number behind the last dash of a request's target, which names the position at which its answer is cut. */
std::size_t positionOf(const std::string &head)
{
    const std::string target = head.substr(0, head.find(" HTTP/1.1"));
    return std::stoul(target.substr(target.rfind('-') + 1));
}

/** A node in front of replicas that close the connection in the middle of their answers. */
class CutAnswers : public GatewayProcesses
{
public:
    explicit CutAnswers(const ScriptedEndpoint::Script &script) : GatewayProcesses(1)
    {
        this->put({"op", "", "config"}, processConfiguration(1).dump());
        this->host.ask<bool>([&script](PlatformHost &platform) {
            for (const char *const service : {"llm", "api"}) {
                for (int number = 0; number < replicasPerService; ++number) {
                    platform.addReplica(std::string("i-") + service + '-' + std::to_string(number), service, "v1", script);
                }
            }
            return true;
        });
        this->awaitReady();
    }

    /** Sends a request whose answer is cut at a position. @return the answer that its caller gets */
    std::string callAt(const std::string &route, std::size_t position) const
    {
        const std::string number = std::to_string(position);
        return this->call(0, "POST /" + route + "/x-" + number, route + number);
    }

    /** @return the answers to requests whose answers are cut at each position, from 0 on. */
    std::vector<std::string> callAtEachPosition(const std::string &route, std::size_t positions) const
    {
        constexpr std::size_t callers = 16;
        std::vector<std::string> answers(positions);
        std::vector<std::thread> threads;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            threads.emplace_back([this, &route, &answers, caller] {
                for (std::size_t position = caller; position < answers.size(); position += callers) {
                    answers[position] = this->callAt(route, position);
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return answers;
    }

    std::size_t requestsReceived()
    {
        return this->host.ask<std::size_t>([](PlatformHost &platform) {
            std::size_t count = 0;
            for (const auto &endpoint : platform.endpoints) {
                count += endpoint->requests();
            }
            return count;
        });
    }
};

} // namespace

// Guards against an answer of 200 with an empty or short body, framed as whole, after a replica stopped in its head.
TEST_CASE("an answer that ends in its head is no success, wherever it ends")
{
    const std::string body = "id: 1\ndata: t1\n\n";
    const std::string whole = framedHead(body.size()) + body;
    CutAnswers processes([&whole](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
        exchange->raw(whole.substr(0, positionOf(exchange->head)));
        exchange->close();
    });
    for (const std::string route : {"r", "o", "s", "u"}) {
        const std::size_t before = processes.requestsReceived();
        const std::vector<std::string> answers = processes.callAtEachPosition(route, whole.size());
        for (std::size_t position = 0; position < answers.size(); ++position) {
            const std::string &answer = answers[position];
            CAPTURE(route);
            CAPTURE(position);
            CAPTURE(answer);
            // A stream may have begun, and is broken off then.
            const bool isWhole = answer.ends_with("0\r\n\r\n") || answer.find("Content-Length") != std::string::npos;
            CHECK_FALSE((answer.starts_with("HTTP/1.1 200") && isWhole));
        }
        CHECK(processes.requestsReceived() - before >= whole.size() / 2);
        CHECK(processes.callAt(route, whole.size()).starts_with("HTTP/1.1 200"));
    }
}

// Guards against an item that is listed as completed with a text that its replica never finished.
TEST_CASE("an item whose first answer ends in its head is completed with the text of a later one")
{
    const std::string body = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n";
    const std::string whole = framedHead(body.size()) + body;
    std::map<std::size_t, int> runs;
    CutAnswers processes([&whole, &runs](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
        const std::size_t position = positionOf(exchange->head);
        const bool isFirst = ++runs[position] == 1;
        const bool isResumed = exchange->head.find("Last-Event-Id: 1") != std::string::npos;
        const std::string rest = "id: 2\ndata: t2\n\n";
        const std::string answer = isResumed ? framedHead(rest.size()) + rest : whole;
        exchange->raw(isFirst ? answer.substr(0, position) : answer);
        exchange->close();
    });
    nlohmann::json items = nlohmann::json::array();
    for (std::size_t position = 0; position < whole.size(); position += 3) {
        const std::string number = std::to_string(position);
        items.push_back({{"id", "item" + number}, {"path", "/b/x-" + number}, {"body", ""}, {"tokens", 9}});
    }
    const nlohmann::json job{{"requests", items}};
    REQUIRE(processes.call(0, "POST /b/job", "job", {}, job.dump()).starts_with("HTTP/1.1 202"));
    nlohmann::json results;
    awaitProcesses([&processes, &results, &items] {
        const std::string answer = processes.call(0, "GET /lots/job?afterRev=0", "read");
        results = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
        return results.is_object() && results["results"].size() == items.size();
    });
    for (const nlohmann::json &result : results["results"]) {
        CAPTURE(result.dump());
        CHECK(result["state"] == "completed");
        CHECK(result["output"] == "t1\nt2");
    }
}

// Guards against a configuration or a list of replicas that is taken from a part of the store's answer.
TEST_CASE("an answer of the store that ends in its head is no answer")
{
    const std::string row = nlohmann::json{{"table", "op"},
                                           {"part", ""},
                                           {"key", "config"},
                                           {"ver", 1},
                                           {"value", encodeBase64(processConfiguration(1).dump())}}
                                .dump();
    const auto answerOf = [](const std::string &rows) {
        const std::string body = "{\"rows\":[" + rows + "],\"ver\":1,\"nowMs\":1}";
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    };
    bool isCutting = false;
    std::size_t cuts = 0;
    GatewayProcesses processes(1, [&](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
        const bool isFeed = exchange->head.starts_with("GET /rows-feed");
        const std::string whole = answerOf(exchange->head.find("table=op") != std::string::npos && !isFeed ? row : "");
        if (isCutting) {
            exchange->raw(whole.substr(0, cuts++ % whole.size()));
            exchange->close();
        } else if (!isFeed) {
            exchange->raw(whole);
        }
    });
    processes.awaitReady();
    const auto cutsSoFar = [&processes, &cuts, &isCutting] {
        return processes.host.ask<std::size_t>([&cuts, &isCutting](PlatformHost &) {
            isCutting = true;
            return cuts;
        });
    };
    awaitProcesses([&cutsSoFar] {
        return cutsSoFar() > 200;
    });
    CHECK(processes.metric(0, "configuration_version") == 1);
    CHECK(processes.isReady(0));
    CHECK(processes.fleet.takeEnded().empty());
}
