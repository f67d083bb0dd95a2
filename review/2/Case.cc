// A replica that crashes as it begins to work, a few times in a row, under items of a batch job that share a part of their
// prompts. Usage: case2 REPOSITORY RECORD TROUBLE
#include "../standin/World.hpp"

using namespace standin;

namespace
{

constexpr int replicaCount = 6;
constexpr int slots = 4;
/** Fill all replicas but the one that crashes. */
constexpr int longItems = (replicaCount - 1) * slots;
constexpr int sharedItems = 12;
/** As in the sheet: 259 events an item; 10 s of work, due in 18 s. */
constexpr int events = 259;
constexpr milliseconds eventTime{40};
/** From the start of an item to its first event, of four items at once. */
constexpr milliseconds prefillTime{200};
/** The first one before there is work, each other one as the replica begins to work again. */
constexpr int crashes = 5;
/** The replica crashes at some time within this after it began its first request, and so before its first event. */
constexpr milliseconds latestCrash{180};
/** Of 4.5 s that the site file allows (`for_s`). */
constexpr milliseconds downTime{1500};
constexpr std::chrono::seconds finish{18};
/** Items that failed at a replica later than this are excused. */
constexpr std::chrono::seconds excused{20};

Json configuration()
{
    const Json engine{{"slots", slots}, {"kvCapacity", 110792}, {"kvBytes", 35136}, {"models", Json::array({{{"name", "m"}}})}};
    const Json batch{{"name", "r-batch"},
                     {"host", "lots.example"},
                     {"prefix", "/lots-in/"},
                     {"routeKind", "batch"},
                     {"timeoutMs", 15000},
                     {"fullValueMs", 400},
                     {"priority", 2},
                     {"service", "llm"},
                     {"maxAttempts", 3},
                     {"sticky", true},
                     {"resumable", true},
                     {"gapTargetMs", 200},
                     {"completionTargetMs", 18000},
                     {"retentionS", 60},
                     {"maxCount", 2200000}};
    const Json notes{{"name", "r-notes"},
                     {"host", "lots.example"},
                     {"prefix", "/notes/"},
                     {"routeKind", "streaming"},
                     {"timeoutMs", 5000},
                     {"fullValueMs", 300},
                     {"priority", 0},
                     {"service", "llm"},
                     {"maxAttempts", 2},
                     {"sticky", true},
                     {"resumable", true},
                     {"gapTargetMs", 200}};
    return {{"version", 7},
            {"routes", Json::array({notes, batch})},
            {"services", Json::array({{{"name", "llm"}, {"healthPath", "/healthz"}, {"maxConns", 370}, {"engine", engine}}})},
            {"limits", limits()}};
}

std::string itemOf(const Message &request)
{
    return request.header("X-Request-Id");
}

/** Runs an item until it is complete, its connection is closed or its replica crashes. */
bool runItem(const Message &request, Connection &connection, const std::string &headers, const std::function<bool()> &isDown)
{
    const auto work = [&connection, &isDown](milliseconds time) {
        const Time until = Clock::now() + time;
        while (Clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(5));
            if (isDown() || connection.isClosedByPeer()) {
                return false;
            }
        }
        return true;
    };
    const std::string last = request.header("Last-Event-Id");
    const int from = last.empty() ? 1 : std::stoi(last) + 1;
    const std::string head
        = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + headers + "\r\n";
    if (!work(prefillTime) || !connection.send(head)) {
        return false;
    }
    for (int event = from; event <= events; ++event) {
        const std::string text
            = "id: " + std::to_string(event) + "\ndata: " + itemOf(request) + "." + std::to_string(event) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        if (!work(eventTime) || !connection.send(size + text + "\r\n")) {
            return false;
        }
    }
    return connection.send("0\r\n\r\n");
}

Replica *startReplica(World &world, int number, int start, int port)
{
    const std::string id = "i-" + std::string(1, char('a' + number)) + std::to_string(start);
    auto down = std::make_shared<std::function<bool()>>([] {
        return false;
    });
    auto *const replica = new Replica(world.ip(101 + number),
                                      *world.store,
                                      world.record,
                                      Replica::Options{id, "llm", "zone-a", slots, port},
                                      [down](const Message &request, Connection &connection, const std::string &headers) {
                                          return runItem(request, connection, headers, *down);
                                      });
    *down = [replica] {
        return replica->isDown();
    };
    return replica;
}

bool submit(World &world, const std::string &job, const std::string &part, int count)
{
    Json items = Json::array();
    for (int item = 0; item < count; ++item) {
        const std::string id = job + "-item-" + std::to_string(item);
        items.push_back({{"id", id},
                         {"path", "/lots-in/3/" + id},
                         {"headers",
                          {{"X-Model", "m"},
                           {"X-Token-Usage", "350,1300"},
                           {"X-Prefix-Hash", part + ":100," + std::to_string(item) + "f:250"}}},
                         {"body", encodeBase64("photo of " + id)},
                         {"tokens", 1650}});
    }
    const Reply reply = call(world.nodes[0]->frontend,
                             "POST",
                             "/lots-in/" + job,
                             {{"Host", "lots.example"}, {"X-Request-Id", job}, {"Content-Type", "application/json"}},
                             Json{{"requests", items}}.dump());
    world.record.line(job + " with " + std::to_string(count) + " items, shared part " + part + ": answered "
                      + std::to_string(reply.message.status));
    return reply.message.status == 202;
}

/** @return the number of results of a job, or -1 if it can't be read */
int listed(World &world, const std::string &job, std::size_t node)
{
    int position = 0;
    while (true) {
        const Reply reply = call(world.nodes[node % world.nodes.size()]->frontend,
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

int play(World &world, bool isTroubled)
{
    std::vector<Replica *> replicas;
    replicas.reserve(replicaCount);
    for (int number = 0; number < replicaCount; ++number) {
        replicas.push_back(startReplica(world, number, 1, 0));
    }
    world.configure(configuration());
    if (!world.startNodes(3)) {
        std::cerr << "the nodes did not become ready\n";
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    Replica *bad = replicas.back();
    replicas.pop_back();
    const int port = bad->port();
    Time lastCrash = Clock::now();
    if (isTroubled) {
        bad->crash();
    }
    if (!submit(world, "job-1", "aa01", longItems)) {
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    if (!submit(world, "job-2", "bb02", sharedItems)) {
        return 2;
    }
    for (int start = 2; isTroubled && start <= crashes + 1; ++start) {
        std::this_thread::sleep_for(downTime);
        bad = startReplica(world, replicaCount - 1, start, port);
        const Time until = Clock::now() + std::chrono::seconds(3);
        while (bad->runs == 0 && Clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        if (start <= crashes) {
            std::this_thread::sleep_for(milliseconds(world.draw(0, int(latestCrash.count()))));
            bad->crash();
            lastCrash = Clock::now();
        }
    }
    replicas.push_back(bad);
    world.record.line("from now on all " + std::to_string(replicas.size()) + " replicas are up and sound");

    const Time until = std::max(lastCrash + excused, Clock::now() + finish) + std::chrono::seconds(17);
    Time lastBusy = Clock::now();
    while (Clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        int running = 0;
        for (const Replica *replica : replicas) {
            running += replica->running;
        }
        lastBusy = running > 0 ? Clock::now() : lastBusy;
        const int first = listed(world, "job-1", 0);
        const int second = listed(world, "job-2", 1);
        world.record.line("listed: job-1 " + std::to_string(first) + " of " + std::to_string(longItems) + ", job-2 "
                          + std::to_string(second) + " of " + std::to_string(sharedItems) + "; running at replicas "
                          + std::to_string(running));
        if (first == longItems && second == sharedItems) {
            world.record.line("all items are listed");
            return 0;
        }
    }
    const Reply note = call(world.nodes[0]->frontend,
                            "POST",
                            "/notes/1",
                            {{"Host", "lots.example"},
                             {"X-Request-Id", "note-1"},
                             {"X-Deadline-Ms", "5000"},
                             {"X-Model", "m"},
                             {"X-Token-Usage", "350,100"},
                             {"X-Prefix-Hash", "bb02:100,77f:250"}},
                            "q");
    world.record.line("an online request with the same shared part is answered " + std::to_string(note.message.status));
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - lastBusy).count();
    const auto since = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - lastCrash).count();
    int unlisted = 0;
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        const int found = listed(world, "job-2", node);
        world.record.line("at the end, node-" + std::to_string(node + 1) + " lists " + std::to_string(found) + " of "
                          + std::to_string(sharedItems) + " items of job-2");
        unlisted = std::max(unlisted, found < 0 ? 0 : sharedItems - found);
    }
    std::cout << unlisted << " items of an open job are unlisted " << since << " s after the last crash, all replicas idle for "
              << idle << " s\n";
    return unlisted > 0 && idle >= 5 ? 1 : 2;
}

} // namespace

int main(int count, char **arguments)
{
    // Threads of the stand-ins still run.
    ::_exit(playCase(count, arguments, &play));
}
