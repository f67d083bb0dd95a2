// Open connections to two sound replicas go silent once, and a batch job comes afterwards.
// Usage: case1 REPOSITORY RECORD TROUBLE
#include "../standin/World.hpp"

using namespace standin;

namespace
{

constexpr int slots = 4;
/** Enough that both replicas work, so that connections to both are idle afterwards. */
constexpr int firstItems = 8;
constexpr int events = 40;
constexpr milliseconds eventTime{25};
/** What the replicas say in Keep-Alive. */
constexpr int statedKeepAlive = 60;
/** From the end of the first job to the second one. */
constexpr milliseconds pause{1000};
constexpr std::chrono::seconds finish{18};
/** Items that failed at a replica later than this are excused. */
constexpr std::chrono::seconds excused{20};

std::atomic<int> lost{0};

Json configuration()
{
    const Json engine{{"slots", slots}, {"kvCapacity", 110792}, {"kvBytes", 35136}, {"models", Json::array({{{"name", "m"}}})}};
    const Json batch{{"name", "r-batch"},
                     {"host", "lots.example"},
                     {"prefix", "/lots-in/"},
                     {"routeKind", "batch"},
                     {"timeoutMs", 15000},
                     {"fullValueMs", 800},
                     {"priority", 2},
                     {"service", "llm"},
                     {"maxAttempts", 3},
                     {"sticky", true},
                     {"resumable", true},
                     {"gapTargetMs", 250},
                     {"completionTargetMs", 18000},
                     {"retentionS", 60},
                     {"maxCount", 2200000}};
    return {{"version", 7},
            {"routes", Json::array({batch})},
            {"services", Json::array({{{"name", "llm"}, {"healthPath", "/healthz"}, {"maxConns", 370}, {"engine", engine}}})},
            {"limits", limits()}};
}

bool runItem(const Message &request, Connection &connection, const std::string &headers)
{
    const std::string last = request.header("Last-Event-Id");
    const int from = last.empty() ? 1 : std::stoi(last) + 1;
    const std::string head
        = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout="
        + std::to_string(statedKeepAlive) + "\r\n" + headers + "\r\n";
    if (!connection.send(head)) {
        return false;
    }
    for (int event = from; event <= events; ++event) {
        std::this_thread::sleep_for(eventTime);
        const std::string text
            = "id: " + std::to_string(event) + "\ndata: " + request.header("X-Request-Id") + "." + std::to_string(event) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        if (connection.isClosedByPeer() || !connection.send(size + text + "\r\n")) {
            return false;
        }
    }
    return connection.send("0\r\n\r\n");
}

bool submit(World &world, const std::string &job, int count)
{
    Json items = Json::array();
    for (int item = 0; item < count; ++item) {
        const std::string id = job + "-item-" + std::to_string(item);
        items.push_back({{"id", id},
                         {"path", "/lots-in/3/" + id},
                         {"headers", {{"X-Model", "m"}, {"X-Token-Usage", "350,200"}}},
                         {"body", encodeBase64("photo of " + id)},
                         {"tokens", 550}});
    }
    const Reply reply = call(world.nodes[0]->frontend,
                             "POST",
                             "/lots-in/" + job,
                             {{"Host", "lots.example"}, {"X-Request-Id", job}, {"Content-Type", "application/json"}},
                             Json{{"requests", items}}.dump());
    world.record.line(job + " with " + std::to_string(count) + " items: answered " + std::to_string(reply.message.status));
    return reply.message.status == 202;
}

/** @return the number of results of a job, or -1 if it can't be read */
int listed(World &world, const std::string &job, std::size_t node)
{
    int position = 0;
    while (true) {
        const Reply reply = call(world.nodes[node]->frontend,
                                 "GET",
                                 "/lots/" + job + "?afterRev=" + std::to_string(position),
                                 {{"Host", "lots.example"}, {"X-Wait-Ms", "1000"}},
                                 "",
                                 {milliseconds(2500)});
        const Json body = Json::parse(reply.message.body, nullptr, false);
        if (!reply.complete || reply.message.status != 200 || !body.is_object()) {
            return -1;
        }
        if (body["results"].empty()) {
            return position;
        }
        position = body["next"].get<int>();
    }
}

bool awaitJob(World &world, const std::string &job, int count, Time until)
{
    int found = -2;
    while (Clock::now() < until) {
        const int now = listed(world, job, 1);
        if (now != found) {
            world.record.line(job + ": " + std::to_string(now) + " of " + std::to_string(count) + " listed");
            found = now;
        }
        if (now == count) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(250));
    }
    return false;
}

int play(World &world, bool isTroubled)
{
    std::vector<Replica *> replicas;
    for (const std::string id : {"i-a1", "i-b2"}) {
        replicas.push_back(new Replica(world.ip(101 + int(replicas.size())),
                                       *world.store,
                                       world.record,
                                       Replica::Options{id, "llm", "zone-a", slots},
                                       &runItem));
        replicas.back()->setLostHook([&world, id](const Message &request) {
            ++lost;
            world.record.line(request.header("X-Request-Id") + " is lost on a silent connection to " + id);
        });
    }
    world.configure(configuration());
    if (!world.startNodes(3)) {
        std::cerr << "the nodes did not become ready\n";
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto soon = [] {
        return Clock::now() + finish;
    };
    if (!submit(world, "job-1", firstItems) || !awaitJob(world, "job-1", firstItems, soon())) {
        return 2;
    }
    std::this_thread::sleep_for(pause);
    if (isTroubled) {
        for (Replica *replica : replicas) {
            replica->silenceConnections();
        }
        world.record.line("the open connections to both replicas go silent; new ones work");
    }
    if (!submit(world, "job-2", 1)) {
        return 2;
    }
    if (awaitJob(world, "job-2", 1, Clock::now() + std::chrono::seconds(8))) {
        return 0;
    }
    if (!submit(world, "job-3", firstItems) || !awaitJob(world, "job-3", firstItems, soon())) {
        return 2;
    }
    if (awaitJob(world, "job-2", 1, Clock::now() + std::max(finish, excused) + std::chrono::seconds(5))) {
        return 0;
    }
    world.record.line("the item of job-2 isn't listed; running at replicas: "
                      + std::to_string(replicas[0]->running + replicas[1]->running));
    const bool isOpen = listed(world, "job-2", 0) == 0 && listed(world, "job-2", 1) == 0 && listed(world, "job-2", 2) == 0;
    std::cout << "an accepted item was lost on " << lost
              << " silent connections and is never sent again, though job-3 was done\n";
    return isOpen ? 1 : 2;
}

} // namespace

int main(int count, char **arguments)
{
    // Threads of the stand-ins still run.
    ::_exit(playCase(count, arguments, &play));
}
