// A planned stop of a node while clients on slow links still read answers that their replica finished before the stop.
// Usage: case3 REPOSITORY RECORD TROUBLE
#include "../standin/World.h"

using namespace standin;

namespace
{

constexpr int clientCount = 4;
/** Below the 4 MB up to which the gateway holds a whole answer (`answer_bytes`). */
constexpr std::size_t answerSize = 3'000'000;
/** About 5 Mbit/s: the answer takes 5 s. */
constexpr std::uint64_t readRate = 600'000;
constexpr milliseconds deadline{10000};
constexpr std::chrono::seconds grace{8};

Json configuration()
{
    const Json route{{"name", "r-lookup"}, {"host", "app.example"}, {"prefix", "/lookup/"}, {"routeKind", "safe"},
                     {"timeoutMs", deadline.count()}, {"fullValueMs", 1000}, {"priority", 2}, {"service", "app"},
                     {"maxAttempts", 2}};
    return {{"version", 7},
            {"routes", Json::array({route})},
            {"services", Json::array({{{"name", "app"}, {"healthPath", "/healthz"}, {"maxConns", 110}}})},
            {"limits", limits()}};
}

bool runLookup(const Message &, Connection &connection, const std::string &headers)
{
    return connection.send(response(200, headers, std::string(answerSize, 'x')));
}

int play(World &world, bool isTroubled)
{
    for (const std::string id : {"i-a1", "i-b2"}) {
        new Replica(world.ip(id == "i-a1" ? 101 : 102), *world.store, world.record, Replica::Options{id, "app", "zone-a", 6}, &runLookup);
    }
    world.configure(configuration());
    if (!world.startNodes(2)) {
        std::cerr << "the nodes did not become ready\n";
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));

    Node &node = *world.nodes.front();
    std::vector<Reply> replies(clientCount);
    std::vector<milliseconds> ended(clientCount);
    std::vector<std::thread> clients;
    const Time sent = Clock::now();
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            const std::string id = "request-" + std::to_string(client);
            world.record.line("client sends " + id + " to " + node.name);
            Reply &reply = replies[std::size_t(client)];
            reply = call(node.frontend, "POST", "/lookup/" + std::to_string(client),
                         {{"Host", "app.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", std::to_string(deadline.count())}}, "q",
                         {deadline, readRate, 32768});
            ended[std::size_t(client)] = std::chrono::duration_cast<milliseconds>(Clock::now() - sent);
            world.record.line(id + ": status " + std::to_string(reply.message.status) + ", signature "
                              + reply.message.header("X-Server-Signature") + ", body " + std::to_string(reply.message.body.size())
                              + " of " + reply.message.header("Content-Length") + " bytes"
                              + (reply.complete ? ", complete" : reply.timedOut ? ", deadline reached" : ", connection ended"));
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const Time stopped = Clock::now();
    if (isTroubled) {
        world.record.line("SIGTERM to " + node.name);
        node.end(SIGTERM);
        if (node.await(grace)) {
            const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - stopped).count();
            world.record.line(node.name + " has ended by itself " + std::to_string(took) + " ms after SIGTERM");
        } else {
            node.end(SIGKILL);
            world.record.line(node.name + " was killed at the end of its grace");
        }
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int cut = 0;
    for (std::size_t client = 0; client < replies.size(); ++client) {
        const Reply &reply = replies[client];
        if (reply.message.status != 200 || reply.timedOut) {
            return 2;
        }
        cut += reply.complete ? 0 : 1;
    }
    std::cout << cut << " of " << clientCount << " answers ended incomplete\n";
    return cut > 0 ? 1 : 0;
}

} // namespace

int main(int count, char **arguments)
{
    // Threads of the stand-ins still run.
    ::_exit(playCase(count, arguments, &play));
}
