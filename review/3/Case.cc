// An accepted batch job whose route the operator removes while most of its items wait.
// Usage: case3 REPOSITORY RECORD TROUBLE
#include "../standin/World.hpp"

using namespace standin;

namespace
{

constexpr int itemCount = 24;
constexpr int events = 40;
constexpr milliseconds eventTime{25};
/** As in the small site file: `keep_s` of the class lot-appraisal, and `finishS`. */
constexpr std::chrono::seconds retention{60};
constexpr std::chrono::seconds finish{18};

Json batchRoute()
{
    return {{"name", "r-batch"},
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
            {"retentionS", retention.count()},
            {"maxCount", 2200000}};
}

Json streamRoute()
{
    return {{"name", "r-notes"},
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
}

Json configuration(int version, const Json &routes)
{
    const Json engine{{"slots", 4}, {"kvCapacity", 110792}, {"kvBytes", 35136}, {"models", Json::array({{{"name", "m"}}})}};
    return {{"version", version},
            {"routes", routes},
            {"services", Json::array({{{"name", "llm"}, {"healthPath", "/healthz"}, {"maxConns", 370}, {"engine", engine}}})},
            {"limits", limits()}};
}

/** Runs an item: events with increasing ids, from the one after Last-Event-Id. */
bool runItem(const Message &request, Connection &connection, const std::string &headers)
{
    const std::string last = request.header("Last-Event-Id");
    const int from = last.empty() ? 1 : std::stoi(last) + 1;
    if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + headers
                         + "\r\n")) {
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

struct Listing
{
    bool isRead = false;
    std::map<std::string, std::string> states;
};

/** Reads all results of the job at a node, as a client does after a failure again. */
Listing read(World &world, std::size_t node)
{
    Listing listing;
    std::size_t position = 0;
    while (true) {
        const Reply reply = call(world.nodes[node % world.nodes.size()]->frontend,
                                 "GET",
                                 "/lots/job-1?afterRev=" + std::to_string(position),
                                 {{"Host", "lots.example"}, {"X-Wait-Ms", "1000"}},
                                 "",
                                 {milliseconds(2500)});
        const Json body = Json::parse(reply.message.body, nullptr, false);
        if (!reply.complete || reply.message.status != 200 || !body.is_object()) {
            world.record.line("read at " + std::to_string(position) + ": status " + std::to_string(reply.message.status));
            return listing;
        }
        for (const Json &result : body["results"]) {
            listing.states[result["id"].get<std::string>()] = result["state"].get<std::string>();
        }
        if (body["results"].empty()) {
            listing.isRead = true;
            return listing;
        }
        position = body["next"].get<std::size_t>();
    }
}

std::string summary(const Listing &listing)
{
    std::map<std::string, int> counts;
    for (const auto &[item, state] : listing.states) {
        ++counts[state];
    }
    return "completed " + std::to_string(counts["completed"]) + ", abandoned " + std::to_string(counts["abandoned"])
        + ", unlisted " + std::to_string(itemCount - int(listing.states.size())) + " of " + std::to_string(itemCount);
}

int play(World &world, bool isTroubled)
{
    std::vector<Replica *> replicas;
    for (const std::string id : {"i-a1", "i-b2"}) {
        replicas.push_back(new Replica(world.ip(100 + int(replicas.size())),
                                       *world.store,
                                       world.record,
                                       Replica::Options{id, "llm", "zone-a", 4},
                                       &runItem));
    }
    world.configure(configuration(7, Json::array({streamRoute(), batchRoute()})));
    if (!world.startNodes(3)) {
        std::cerr << "the nodes did not become ready\n";
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));

    Json items = Json::array();
    for (int item = 0; item < itemCount; ++item) {
        const std::string id = "item-" + std::to_string(item);
        items.push_back({{"id", id},
                         {"path", "/lots-in/3/" + id},
                         {"headers", {{"X-Model", "m"}, {"X-Token-Usage", "350,200"}}},
                         {"body", encodeBase64("photo of " + id)},
                         {"tokens", 550}});
    }
    const Reply submitted = call(world.nodes[0]->frontend,
                                 "POST",
                                 "/lots-in/job-1",
                                 {{"Host", "lots.example"}, {"X-Request-Id", "job-1"}, {"Content-Type", "application/json"}},
                                 Json{{"requests", items}}.dump());
    const Time accepted = Clock::now();
    world.record.line("job-1 with " + std::to_string(itemCount) + " items answered " + std::to_string(submitted.message.status));
    if (submitted.message.status != 202) {
        return 2;
    }

    // Some items are complete, some run and the others wait when the version comes.
    std::this_thread::sleep_for(milliseconds(1500));
    if (isTroubled) {
        world.configure(configuration(9, Json::array({streamRoute()})));
    }

    Time lastRun = Clock::now();
    int runsBefore = -1;
    const Time until = accepted + retention + finish;
    while (Clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::seconds(isTroubled ? 3 : 1));
        int runs = 0;
        int running = 0;
        for (const Replica *replica : replicas) {
            runs += replica->runs;
            running += replica->running;
        }
        lastRun = runs != runsBefore || running > 0 ? Clock::now() : lastRun;
        runsBefore = runs;
        const Listing listing = read(world, std::size_t(runs));
        world.record.line(summary(listing) + "; running at replicas " + std::to_string(running));
        if (listing.states.size() == itemCount) {
            world.record.line("all items are listed");
            return 0;
        }
    }
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - lastRun).count();
    bool isBroken = false;
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        const Listing listing = read(world, node);
        world.record.line("at the end, node-" + std::to_string(node + 1) + ": " + summary(listing));
        isBroken = isBroken || (listing.isRead && listing.states.size() < itemCount);
    }
    world.record.line("no replica has had a request for " + std::to_string(idle) + " s");
    std::cout << "items of an open job are unlisted " << (retention + finish).count() << " s after its 202, replicas idle for "
              << idle << " s\n";
    return isBroken && idle >= 5 ? 1 : 2;
}

} // namespace

int main(int count, char **arguments)
{
    // Threads of the stand-ins still run.
    ::_exit(playCase(count, arguments, &play));
}
