#include "StatusCommand.h"

#include "OperatorClient.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <map>
#include <string>

DEFINE_bool(json, false, "print JSON");

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;

std::string formatFields(const Json &part)
{
    std::string text;
    for (const auto &[name, value] : part.items()) {
        const bool isEmpty = value.is_string() && value.get<std::string>().empty();
        if (!isEmpty && !value.is_structured()) {
            text += "  " + name + '=' + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

void printNode(const Json &node)
{
    std::printf("%-16s %-16s %-8s %-21s session %llu\n",
                node.value("vm", "").c_str(),
                node.value("failure_domain", "").c_str(),
                node.value("state", "").c_str(),
                node.value("address", "").c_str(),
                static_cast<unsigned long long>(node.value("session", std::uint64_t{0})));
    const Json report = node.value("report", Json());
    if (!report.is_object()) {
        std::puts("    did not answer");
        return;
    }
    for (const auto &[name, part] : report.items()) {
        if (part.is_object()) {
            std::printf("    %-14s%s\n", name.c_str(), formatFields(part).c_str());
        }
    }
}

/** Prints each degradation once, with the number of nodes that report it. */
void printDegraded(const Json &nodes)
{
    std::map<std::string, int> counts;
    for (const Json &node : nodes) {
        const Json report = node.value("report", Json());
        if (!report.is_object()) {
            ++counts["a node did not answer\n    -> if its VM no longer exists, nothing; otherwise check its log"];
            continue;
        }
        for (const Json &degradation : report.value("degraded", Json::array())) {
            const std::string remedy = degradation.value("do", "");
            ++counts[degradation.value("what", "") + "\n    -> " + (remedy.empty() ? "recovers without action" : remedy)];
        }
    }
    std::puts(counts.empty() ? "nothing is degraded" : "degraded:");
    for (const auto &[text, count] : counts) {
        std::printf("  %d node(s): %s\n", count, text.c_str());
    }
}

} // namespace

ExitCode runStatus(const std::vector<std::string> &)
{
    const HttpResponse response = OperatorClient::call("GET", "/v1/status");
    const Json status = Json::parse(response.body, nullptr, false);
    if (response.status != statusOk || !status.is_object()) {
        std::fprintf(stderr, "%s\n", response.body.c_str());
        return ExitCode::Failure;
    }
    if (FLAGS_json) {
        std::puts(status.dump(2).c_str());
        return ExitCode::Success;
    }
    const Json nodes = status.value("nodes", Json::array());
    std::printf("%zu node(s)\n", nodes.size());
    for (const Json &node : nodes) {
        printNode(node);
    }
    printDegraded(nodes);
    return ExitCode::Success;
}

} // namespace Dogwoodkeel
