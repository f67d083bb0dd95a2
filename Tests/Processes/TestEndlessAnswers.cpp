#include <LibBase/Encoding.h>
#include <Tests/Processes/GatewayProcesses.h>

#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr int replicasPerService = 16;
constexpr int endlessCalls = 60;
constexpr int soundCalls = 20;
constexpr std::size_t memoryMegabytes = 130;
/** A little less than a single answer may have, so that no bound of a single answer ends it. */
const std::string endlessBytes(4'000'000, 'x');

const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\n";

/** @return as many bytes of interim responses as an endless answer has. */
std::string interimResponses()
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string text;
    while (text.size() < endlessBytes.size()) {
        text.append(interim);
    }
    return text;
}

/** Sends bytes without end to requests whose target says so, and answers the others. */
void flood(const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange)
{
    const std::string target = exchange->head.substr(0, exchange->head.find(" HTTP/1.1"));
    if (target.find("sound") != std::string::npos) {
        exchange->raw(signedHead + "Content-Length: 2\r\n\r\nok");
    } else if (target.find("events") != std::string::npos) {
        exchange->raw(signedHead + "Content-Type: text/event-stream\r\n\r\ndata: " + endlessBytes.substr(0, 1'000'000));
    } else if (target.find("head") != std::string::npos) {
        exchange->raw(signedHead + "X-Endless: " + endlessBytes);
    } else if (target.find("interim") != std::string::npos) {
        exchange->raw(interimResponses());
    } else if (target.find("extension") != std::string::npos) {
        exchange->raw(signedHead + "Transfer-Encoding: chunked\r\n\r\n1;" + endlessBytes);
    } else if (target.find("chunks") != std::string::npos) {
        exchange->raw(signedHead + "Transfer-Encoding: chunked\r\n\r\n3d0900\r\n" + endlessBytes + "\r\n");
    } else {
        exchange->raw(signedHead + "\r\n" + endlessBytes);
    }
}

/** A small node in front of replicas that send bytes without end. */
class FloodedNode : public GatewayProcesses
{
public:
    FloodedNode() : GatewayProcesses(1, nullptr, "memory_mb = " + std::to_string(memoryMegabytes) + "\n")
    {
        this->put({"op", "", "config"}, processConfiguration(1).dump());
        this->host.ask<bool>([](PlatformHost &platform) {
            for (const char *const service : {"llm", "api"}) {
                for (int number = 0; number < replicasPerService; ++number) {
                    platform.addReplica(std::string("i-") + service + '-' + std::to_string(number), service, "v1", flood);
                }
            }
            return true;
        });
        this->awaitReady();
    }

    /** @return the largest memory that the node's process has had, in megabytes. */
    std::size_t peakMegabytes() const
    {
        std::ifstream status("/proc/" + std::to_string(this->fleet.process(this->nodes.front()).pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
            }
        }
        FAIL("the node has ended");
        return 0;
    }
};

/** Sends as many requests to a target at once as there are endless answers, and sound ones beside them. */
void checkFlood(const FloodedNode &node, const std::string &target)
{
    CAPTURE(target);
    std::vector<std::string> flooded(endlessCalls);
    std::vector<std::jthread> callers;
    callers.reserve(endlessCalls);
    for (int call = 0; call < endlessCalls; ++call) {
        callers.emplace_back([&node, &flooded, &target, call] {
            flooded[static_cast<std::size_t>(call)]
                = node.call(0, "POST " + target + std::to_string(call), "endless" + std::to_string(call));
        });
    }
    int sound = 0;
    for (int call = 0; call < soundCalls; ++call) {
        sound += node.call(0, "POST /s/sound", "sound" + std::to_string(call)).starts_with("HTTP/1.1 200") ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    callers.clear();
    CHECK(sound == soundCalls);
    for (const std::string &answer : flooded) {
        const bool isError = answer.starts_with("HTTP/1.1 50");
        CHECK(isError);
    }
    CHECK(node.peakMegabytes() < memoryMegabytes);
}

} // namespace

// A faulty replica sent bytes without end to many calls at once. Their node held all of them, ran out of memory, and ended with
// the requests of its other callers.
TEST_CASE("answers without end to many calls leave a node within its memory, and its other callers are served")
{
    const FloodedNode node;
    for (const char *const target : {"/s/endless-",
                                     "/s/chunks-",
                                     "/u/endless-",
                                     "/r/events-",
                                     "/o/events-",
                                     "/s/head-",
                                     "/o/head-",
                                     "/u/interim-",
                                     "/s/extension-"}) {
        checkFlood(node, target);
    }
}
