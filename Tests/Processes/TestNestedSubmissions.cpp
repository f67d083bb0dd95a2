#include <Tests/Processes/GatewayProcesses.h>

#include <string>

using namespace Dogwoodkeel;

// Guards against a node that one submission ends: the value of an item's header is nested so deeply that writing it as text
// overflows the stack.
TEST_CASE("a job whose item has a deeply nested header is refused, and its node serves on")
{
    constexpr std::size_t depth = 1'000'000;
    GatewayProcesses processes(1);
    nlohmann::json configuration = processConfiguration(1);
    configuration["limits"]["maxBodyBytes"] = 4 * depth;
    processes.put({"op", "", "config"}, configuration.dump());
    processes.awaitReady();
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string job
        = R"({"requests":[{"id":"a","path":"/b/x","body":"","tokens":9,"headers":{"X-Nested":)" + nested + "}}]}";
    CHECK(processes.call(0, "POST /b/job", "deep", {}, job).starts_with("HTTP/1.1 400"));
    const std::string sound = R"({"requests":[{"id":"a","path":"/b/x","body":"","tokens":9,"headers":{"X-Flat":"1"}}]})";
    CHECK(processes.call(0, "POST /b/job", "flat", {}, sound).starts_with("HTTP/1.1 202"));
    CHECK(processes.fleet.takeEnded().empty());
}
