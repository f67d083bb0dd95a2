#include <Tests/Processes/GatewayProcesses.h>

#include <cstddef>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t nodeCount = 3;

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t number = 0; number < count; ++number) {
        result += text;
    }
    return result;
}

std::string withField(const std::string &name, const std::string &value)
{
    nlohmann::json entry = PlatformHost::entryOf("api", "v1", {"127.0.0.1", 9});
    entry.erase(name);
    std::string text = entry.dump();
    text.insert(text.size() - 1, ",\"" + name + "\":" + value);
    return text;
}

/** @return what another writer may leave among the entries of replicas. */
std::vector<std::string> oddEntries()
{
    constexpr std::size_t depth = 30'000;
    std::vector<std::string> entries{
        "",
        "null",
        "[]",
        "{",
        "\"text\"",
        std::string("\0\xff\xfe", 3),
        repeated("[", depth),
        repeated("{\"a\":", depth),
        repeated("[", depth) + repeated("]", depth),
        withField("x", repeated("[", depth) + repeated("]", depth)),
        withField("service", repeated("{\"a\":", depth / 10) + "1" + repeated("}", depth / 10)),
        withField("service", "\"\xc3\x28\""),
        withField("x", "\"" + std::string(60'000, 'x') + "\""),
    };
    for (const std::string field : {"slots", "seq", "born", "coldLeftMs"}) {
        for (const std::string value : {"1e400",
                                        "-1e400",
                                        "1e308",
                                        "-1",
                                        "1.5",
                                        "99999999999999999999999999",
                                        "18446744073709551615",
                                        "9223372036854775808",
                                        "null",
                                        "true",
                                        "\"1\"",
                                        "[1]",
                                        "{}"}) {
            entries.push_back(withField(field, value));
        }
    }
    for (const std::string address : {"127.0.0.1:0",
                                      "127.0.0.1:65536",
                                      "127.0.0.1:99999999999",
                                      "127.0.0.1:-1",
                                      "127.0.0.1:",
                                      "127.0.0.1",
                                      ":80",
                                      "256.0.0.1:80",
                                      "example:80",
                                      "127.0.0.1:80x",
                                      "[::1]:80",
                                      ""}) {
        entries.push_back(withField("address", "\"" + address + "\""));
    }
    for (const std::string field : {"service", "address", "zone", "version", "state"}) {
        for (const std::string value : {"1", "null", "[]", "\"\"", "{\"a\":1}"}) {
            entries.push_back(withField(field, value));
        }
    }
    return entries;
}

/** Nodes in front of a replica. */
class ServingProcesses : public GatewayProcesses
{
public:
    ServingProcesses() : GatewayProcesses(nodeCount)
    {
        this->put({"op", "", "config"}, processConfiguration(1).dump());
        this->addReplica("i-first");
        this->awaitReady();
        this->awaitRelays(nodeCount);
        this->awaitServing("i-first");
    }

    /** Starts a replica that answers with its name. */
    void addReplica(const std::string &instance)
    {
        this->host.ask<bool>([&instance](PlatformHost &platform) {
            platform.addReplica(instance, "api", "v1", [instance](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
                exchange->raw("HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\nContent-Length: " + std::to_string(instance.size())
                              + "\r\n\r\n" + instance);
            });
            return true;
        });
    }

    void removeReplica(const std::string &instance)
    {
        this->host.ask<bool>([&instance](PlatformHost &platform) {
            platform.store.rows().remove({"servers", "", instance});
            return true;
        });
    }

    /** Waits until each node sends requests to a replica. */
    void awaitServing(const std::string &instance)
    {
        awaitProcesses([this, &instance] {
            return this->all([this, &instance](std::size_t node) {
                return this->call(node, "POST /s/x", "q").ends_with(instance);
            });
        });
    }

    /** Checks that all nodes serve, follow the list of replicas, and have not ended. */
    void checkFollowing(const std::string &former, const std::string &next)
    {
        this->addReplica(next);
        this->removeReplica(former);
        this->awaitServing(next);
        CHECK(this->fleet.takeEnded().empty());
    }
};

} // namespace

// Guards against one entry of another writer that ends the nodes again and again, or stops them from following the list.
TEST_CASE("entries of another writer among those of the replicas neither end a node nor hide changes")
{
    ServingProcesses processes;
    std::string serving = "i-first";
    const std::vector<std::string> entries = oddEntries();
    // All at once first, and then changes while they are there.
    for (std::size_t number = 0; number < entries.size(); ++number) {
        processes.put({"servers", "", "odd-" + std::to_string(number)}, entries[number]);
    }
    processes.checkFollowing(serving, "i-second");
    for (std::size_t number = 0; number < entries.size(); ++number) {
        processes.put({"servers", "", "odd"}, entries[number]);
    }
    processes.checkFollowing("i-second", "i-third");
    // Nodes that start read the whole table, and relays after a loss of its history.
    processes.restartAll();
    processes.awaitReady();
    processes.awaitRelays(nodeCount);
    processes.awaitServing("i-third");
    processes.host.ask<bool>([](PlatformHost &platform) {
        platform.store.rows().dropHistory();
        return true;
    });
    processes.checkFollowing("i-third", "i-fourth");
}

// Guards against headers of a request to a replica that an entry of another writer adds: its key names the replica in a header.
TEST_CASE("an entry whose key or text contains control characters is not used")
{
    ServingProcesses processes;
    bool isInjected = false;
    processes.host.ask<bool>([&isInjected](PlatformHost &platform) {
        const auto watch = [&isInjected](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
            isInjected = isInjected || exchange->head.find("X-Injected") != std::string::npos;
            exchange->answer(200, "unsigned");
        };
        platform.addReplica("i-odd\r\nX-Injected: 1", "api", "v1", watch);
        platform.addReplica("i-odd X-Injected", "api", "v1", watch);
        platform.addReplica(std::string("i-\x7f"), "api", "v1", watch);
        return true;
    });
    // The list of the nodes holds the entries now.
    processes.checkFollowing("i-first", "i-second");
    for (int number = 0; number < 100; ++number) {
        const std::string answer
            = processes.call(static_cast<std::size_t>(number) % nodeCount, "POST /s/x", "q" + std::to_string(number));
        CHECK(answer.ends_with("i-second"));
    }
    CHECK_FALSE(processes.host.ask<bool>([&isInjected](PlatformHost &) {
        return isInjected;
    }));
    CHECK(processes.fleet.takeEnded().empty());
}
