#include "ConfigWait.h"

#include "OperatorClient.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <thread>

DEFINE_int32(timeout, 60, "seconds to wait");

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds pollInterval{200};

/** Counts the nodes of one site and those that have the version in force. */
struct SiteCount
{
    int inForce = 0;
    int nodes = 0;
};

/** How far a version has come into force, from the answers of the nodes. */
struct RolloutState
{
    bool isAnswered = false;
    bool isComplete = false;
    std::string progress;
    std::string missingNodes;
};

RolloutState queryRollout(std::uint64_t version)
{
    RolloutState state;
    const HttpResponse response = OperatorClient::call("GET", "/v1/config/nodes");
    const Json nodes = Json::parse(response.body, nullptr, false);
    state.isAnswered = response.status == statusOk && nodes.is_object();
    if (!state.isAnswered) {
        state.missingNodes = response.body + '\n';
        return state;
    }
    std::map<std::string, SiteCount> sites;
    state.isComplete = true;
    for (const Json &node : nodes["nodes"]) {
        SiteCount &site = sites[node.value("site", "")];
        ++site.nodes;
        if (node.value("in_force", std::uint64_t{0}) >= version && node.contains("site")) {
            ++site.inForce;
            continue;
        }
        state.isComplete = false;
        const std::string obstacle = node.value("obstacle", "");
        state.missingNodes += node.value("vm", "") + " (" + node.value("failure_domain", "") + "): has version "
            + std::to_string(node.value("in_force", std::uint64_t{0})) + ", "
            + (obstacle.empty() ? "has not received it yet" : obstacle) + '\n';
    }
    for (const auto &[name, site] : sites) {
        state.progress
            += (name.empty() ? "nodes" : name) + ' ' + std::to_string(site.inForce) + '/' + std::to_string(site.nodes) + "  ";
    }
    return state;
}

} // namespace

ExitCode waitInForce(std::uint64_t version)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_timeout);
    std::string reported;
    for (;;) {
        const RolloutState state = queryRollout(version);
        if (state.progress != reported) {
            reported = state.progress;
            std::printf("in force: %s\n", reported.c_str());
        }
        if (state.isComplete) {
            return ExitCode::Success;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            std::fprintf(stderr, "not in force everywhere:\n%s", state.missingNodes.c_str());
            return ExitCode::Failure;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace Dogwoodkeel
