#include "ConfigWait.h"

#include "OperatorClient.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <thread>

DEFINE_int32(timeout, 60, "how many seconds to wait");

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds pause{200};

/** Nodes of one site. */
struct SiteCount
{
    int inForce = 0;
    int nodes = 0;
};

/** What the nodes said. */
struct Survey
{
    bool isAnswered = false;
    bool isComplete = false;
    std::string progress;
    std::string missing;
};

Survey ask(std::uint64_t version)
{
    Survey survey;
    const HttpResponse response = OperatorClient::call("GET", "/v1/config/nodes");
    const Json nodes = Json::parse(response.body, nullptr, false);
    survey.isAnswered = response.status == statusOk && nodes.is_object();
    if (!survey.isAnswered) {
        survey.missing = response.body + '\n';
        return survey;
    }
    std::map<std::string, SiteCount> sites;
    survey.isComplete = true;
    for (const Json &node : nodes["nodes"]) {
        SiteCount &site = sites[node.value("site", "")];
        ++site.nodes;
        if (node.value("in_force", std::uint64_t{0}) >= version && node.contains("site")) {
            ++site.inForce;
            continue;
        }
        survey.isComplete = false;
        const std::string obstacle = node.value("obstacle", "");
        survey.missing += node.value("vm", "") + " (" + node.value("failure_domain", "") + "): has version "
            + std::to_string(node.value("in_force", std::uint64_t{0})) + ", "
            + (obstacle.empty() ? "has not heard of it yet" : obstacle) + '\n';
    }
    for (const auto &[name, site] : sites) {
        survey.progress
            += (name.empty() ? "nodes" : name) + ' ' + std::to_string(site.inForce) + '/' + std::to_string(site.nodes) + "  ";
    }
    return survey;
}

} // namespace

ExitCode waitInForce(std::uint64_t version)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_timeout);
    std::string reported;
    for (;;) {
        const Survey survey = ask(version);
        if (survey.progress != reported) {
            reported = survey.progress;
            std::printf("in force: %s\n", reported.c_str());
        }
        if (survey.isComplete) {
            return ExitCode::Success;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            std::fprintf(stderr, "not in force everywhere:\n%s", survey.missing.c_str());
            return ExitCode::Failure;
        }
        std::this_thread::sleep_for(pause);
    }
}

} // namespace Dogwoodkeel
