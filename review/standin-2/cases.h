// The cases of this review.
#pragma once

#include "world.h"

using Case = std::function<int(World &, bool)>;

inline Json route(const std::string &name, const std::string &kind, const std::string &service)
{
    return {{"name", "r-" + name},
            {"host", "site.example"},
            {"prefix", "/" + name + "/"},
            {"routeKind", kind},
            {"timeoutMs", 5000},
            {"fullValueMs", 300},
            {"priority", 0},
            {"service", service},
            {"maxAttempts", 1},
            {"sticky", true},
            {"resumable", false},
            {"gapTargetMs", 300}};
}

inline Json batchRoute(const std::string &name, const std::string &service)
{
    Json batch = route(name, "batch", service);
    batch["timeoutMs"] = 15000;
    batch["fullValueMs"] = 400;
    batch["priority"] = 2;
    batch["maxAttempts"] = 3;
    batch["resumable"] = true;
    batch["completionTargetMs"] = 18000;
    batch["retentionS"] = 60;
    batch["maxCount"] = 1100000;
    return batch;
}

inline Json engineService(const std::string &name, int slots)
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConns", 360},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", slots},
              {"kvCapacity", 72000},
              {"kvBytes", 18432},
              {"linkMbps", 550000.0},
              {"stride", 6},
              {"maxCount", 12},
              {"models", Json::array({{{"name", "m"}}})}}}};
}

inline void writeConfiguration(World &world, int version, const Json &routes, const Json &services)
{
    const Json configuration{
        {"version", version},
        {"routes", routes},
        {"services", services},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    world.store.put("op", "config", configuration.dump());
    world.record.add("configuration " + std::to_string(version) + " acknowledged");
}

inline std::string streamHead(const std::string &path, const std::string &id, int deadlineMs = 5000)
{
    return "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id
        + "\r\nX-Model: m\r\nX-Token-Usage: 250,80\r\nX-Prefix-Hash: 5c1e07a2:100,91bd" + id
        + ":150\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
}

/** @return the text of events 1 to count of a stream. */
inline std::string wholeStream(const std::string &body, int count)
{
    std::string text;
    for (int event = 1; event <= count; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: " + Replica::dataOf(body, event) + "\n\n";
    }
    return text;
}

inline int eventsIn(const std::string &text)
{
    int count = 0;
    for (std::size_t at = text.find("data: "); at != std::string::npos; at = text.find("data: ", at + 1)) {
        ++count;
    }
    return count;
}

/** Submits a job with one item for each body. @return whether it was accepted */
inline bool
submitJob(World &world, int node, const std::string &prefix, const std::string &job, const std::vector<std::string> &bodies)
{
    Json items = Json::array();
    for (std::size_t number = 0; number < bodies.size(); ++number) {
        items.push_back(
            {{"id", job + std::to_string(number)},
             {"path", prefix + "3/" + std::to_string(number)},
             {"headers", {{"X-Model", "m"}, {"X-Token-Usage", "250,400"}, {"X-Prefix-Hash", "9c2e41:100,5d07b8:150"}}},
             {"body", encodeBase64(bodies[number])},
             {"tokens", 650}});
    }
    const Message answer = request(world.ip(node) + ":8144",
                                   "POST " + prefix + job + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + job
                                       + "\r\nX-Deadline-Ms: 4000\r\nContent-Type: application/json\r\n",
                                   Json({{"requests", items}}).dump());
    world.record.add("job " + job + " submitted at node-" + std::to_string(node) + ": " + std::to_string(answer.status()));
    return answer.status() == 202;
}

inline Json readJob(World &world, int node, const std::string &job)
{
    const Message answer
        = request(world.ip(node) + ":8144", "GET /lots/" + job + "?afterRev=0 HTTP/1.1\r\nHost: site.example\r\n");
    return Json::parse(answer.body, nullptr, false);
}

/** Waits until a replica has made an event of a request. @return the replica's id, or nothing */
inline std::string awaitEvent(World &world, const std::string &id, int event, int timeoutMs)
{
    const auto until = Clock::now() + Milliseconds(timeoutMs);
    while (Clock::now() < until) {
        for (const auto &line : world.runs()) {
            if (line[2] == "event" && line[3] == id && std::stoi(line[4]) >= event) {
                return line[1];
            }
        }
        pause(10);
    }
    return {};
}

/**
 * A replica crashes behind a cut and is back before the cut ends. The end of its connections arrives after the cut: an answer
 * without a length must not look complete.
 */
inline int endBehindCut(World &world, bool hasTrouble)
{
    constexpr int events = 60;
    ReplicaOptions options;
    options.events = events;
    options.intervalMs = 50;
    options.isUnframed = true;
    options.id = "i-aaaa0001";
    bool isStarted = world.addReplica(1, options, "svc-lm", "zone-1");
    options.id = "i-bbbb0001";
    isStarted = isStarted && world.addReplica(2, options, "svc-lm", "zone-2");
    writeConfiguration(world,
                       7,
                       Json::array({route("talk", "streaming", "svc-lm"), batchRoute("lot", "svc-lm")}),
                       Json::array({engineService("svc-lm", 8)}));
    for (int number = 1; number <= 3; ++number) {
        world.startNode(number, "zone-" + std::to_string(number));
    }
    if (!isStarted || !world.awaitReady(3)) {
        return 2;
    }
    pause(1500);
    // One item, and streams that are spread over both replicas.
    if (!submitJob(world, 1, "/lot/", "7c41e09b52d6a3f8", {"item-body"})) {
        return 2;
    }
    constexpr int streams = 8;
    std::vector<Message> answers(streams);
    std::vector<std::thread> clients;
    for (int number = 0; number < streams; ++number) {
        clients.emplace_back([&world, &answers, number] {
            const std::string id = "c0de00" + std::to_string(number);
            const std::string body = "body-" + id;
            answers[static_cast<std::size_t>(number)]
                = request(world.ip(1 + number % 3) + ":8144", streamHead("/talk/2f", id), body, 5000);
        });
    }
    const std::string runner = awaitEvent(world, "7c41e09b52d6a3f80", 8, 5000);
    if (runner.empty()) {
        world.record.add("the item did not start");
        for (std::thread &client : clients) {
            client.join();
        }
        return 2;
    }
    const int number = runner.starts_with("i-aaaa") ? 1 : 2;
    if (hasTrouble) {
        world.cutReplica(number, true);
        pause(20);
        world.killReplica(number);
        pause(900);
        world.restartReplica(number, number == 1 ? "i-aaaa0002" : "i-bbbb0002");
        pause(400);
        world.cutReplica(number, false);
    }
    bool isBroken = false;
    for (int stream = 0; stream < streams; ++stream) {
        clients[static_cast<std::size_t>(stream)].join();
        const Message &answer = answers[static_cast<std::size_t>(stream)];
        const std::string id = "c0de00" + std::to_string(stream);
        const bool isWhole = answer.body == wholeStream("body-" + id, events);
        const bool looksComplete = answer.status() == 200 && answer.isComplete;
        world.record.add("stream " + id + " answered " + std::to_string(answer.status()) + ", "
                         + std::to_string(eventsIn(answer.body)) + " of " + std::to_string(events) + " events, "
                         + (looksComplete ? "ends as complete" : "ends as broken off"));
        if (looksComplete && !isWhole) {
            std::printf("ORDER: stream %s ends as complete after event %d of %d\n", id.c_str(), eventsIn(answer.body), events);
            isBroken = true;
        }
    }
    std::string expected;
    for (int event = 1; event <= events; ++event) {
        expected += (event > 1 ? "\n" : "") + Replica::dataOf("item-body", event);
    }
    const auto until = Clock::now() + std::chrono::seconds(20);
    Json job;
    do {
        pause(500);
        job = readJob(world, 2, "7c41e09b52d6a3f8");
    } while (Clock::now() < until && !(job.is_object() && job.contains("results") && !job["results"].empty()));
    if (!job.is_object() || !job.contains("results") || job["results"].empty()) {
        world.record.add("the item was not listed");
        return isBroken ? 1 : 2;
    }
    const std::string output = job["results"][0].value("output", "");
    const auto lines = std::count(output.begin(), output.end(), '\n') + (output.empty() ? 0 : 1);
    world.record.add("item listed as " + job["results"][0].value("state", "") + " with " + std::to_string(lines) + " of "
                     + std::to_string(events) + " events");
    if (job["results"][0].value("state", "") == "completed" && output != expected) {
        std::printf("MIXED: the item is listed as completed with %d of %d events\n", static_cast<int>(lines), events);
        isBroken = true;
    }
    return isBroken ? 1 : 0;
}

/**
 * All slots are busy while a node stops. A request that the node has read waits for a slot longer than the node lives: its
 * connection must not end without an answer.
 */
inline int waitingAtStop(World &world, bool hasTrouble)
{
    constexpr int slots = 8;
    constexpr int replicas = 2;
    ReplicaOptions options;
    options.slots = slots;
    options.events = 48;
    options.intervalMs = 100;
    options.id = "i-aaaa0001";
    bool isStarted = world.addReplica(1, options, "svc-lm", "zone-1");
    options.id = "i-bbbb0001";
    isStarted = isStarted && world.addReplica(2, options, "svc-lm", "zone-2");
    writeConfiguration(
        world, 7, Json::array({route("talk", "streaming", "svc-lm")}), Json::array({engineService("svc-lm", slots)}));
    for (int number = 1; number <= 3; ++number) {
        world.startNode(number, "zone-" + std::to_string(number));
    }
    if (!isStarted || !world.awaitReady(3)) {
        return 2;
    }
    pause(1500);
    if (hasTrouble) {
        world.signalNode(1, SIGTERM);
    }
    const auto stopped = Clock::now();
    std::this_thread::sleep_until(stopped + Milliseconds(2500));
    std::vector<std::thread> clients;
    for (int number = 0; number < slots * replicas; ++number) {
        clients.emplace_back([&world, number] {
            const std::string id = "b0510" + std::to_string(10 + number);
            const Message answer = request(world.ip(2 + number % 2) + ":8144", streamHead("/talk/2f", id), "body-" + id, 5000);
            world.record.add("stream " + id + " at the other nodes answered " + std::to_string(answer.status()) + ", "
                             + std::to_string(eventsIn(answer.body)) + " events, "
                             + (answer.isComplete ? "ends as complete" : "ends as broken off"));
        });
    }
    std::this_thread::sleep_until(stopped + Milliseconds(2800));
    std::atomic<int> unanswered{0};
    for (int number = 0; number < 4; ++number) {
        clients.emplace_back([&world, &unanswered, number, stopped] {
            const std::string id = "3a1700" + std::to_string(number);
            world.record.add("stream " + id + " sent to node-1");
            const auto sent = Clock::now();
            const Message answer = request(world.ip(1) + ":8144", streamHead("/talk/2f", id), "body-" + id, 5000);
            const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent).count();
            const bool isCut = took < 4900 && (answer.status() == 0 || !answer.isComplete);
            world.record.add("stream " + id + " at node-1: "
                             + (answer.status() == 0 ? std::string("no answer") : std::to_string(answer.status())) + ", "
                             + std::to_string(eventsIn(answer.body)) + " events after " + std::to_string(took) + " ms"
                             + (isCut ? ", the connection ended" : ""));
            if (isCut) {
                std::printf("LOST: the connection of %s ended after %d ms without a complete answer\n",
                            id.c_str(),
                            static_cast<int>(took));
                ++unanswered;
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    return unanswered > 0 ? 1 : 0;
}

/**
 * A client uses one kept connection for one stream after the other. A node that stops while the first stream runs must not take
 * the second one long after that, as it ends before the stream does.
 */
inline int nextOnKeptConnection(World &world, bool hasTrouble)
{
    constexpr int events = 46;
    ReplicaOptions options;
    options.events = events;
    options.intervalMs = 100;
    options.id = "i-aaaa0001";
    bool isStarted = world.addReplica(1, options, "svc-lm", "zone-1");
    options.id = "i-bbbb0001";
    isStarted = isStarted && world.addReplica(2, options, "svc-lm", "zone-2");
    writeConfiguration(world, 7, Json::array({route("talk", "streaming", "svc-lm")}), Json::array({engineService("svc-lm", 8)}));
    for (int number = 1; number <= 3; ++number) {
        world.startNode(number, "zone-" + std::to_string(number));
    }
    if (!isStarted || !world.awaitReady(3)) {
        return 2;
    }
    pause(1500);
    const int fd = connectTo(world.ip(1) + ":8144");
    if (fd < 0) {
        return 2;
    }
    Reader reader(fd);
    std::thread stopper([&world, hasTrouble] {
        pause(500);
        if (hasTrouble) {
            world.signalNode(1, SIGTERM);
        }
    });
    bool isBroken = false;
    for (int number = 1; number <= 2; ++number) {
        const std::string id = "5e700" + std::to_string(number);
        const std::string body = "body-" + id;
        const bool isSent
            = sendAll(fd, streamHead("/talk/2f", id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        world.record.add("stream " + id + (isSent ? " sent" : " could not be sent") + " on the kept connection to node-1");
        const auto sent = Clock::now();
        Message answer;
        if (isSent && reader.readHead(answer, sent + Milliseconds(5000))) {
            reader.readBody(answer, true, sent + Milliseconds(5000));
        }
        const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent).count();
        const bool isWhole = answer.isComplete && answer.body == wholeStream(body, events);
        world.record.add("stream " + id + ": "
                         + (answer.status() == 0 ? std::string("no answer") : std::to_string(answer.status())) + ", "
                         + std::to_string(eventsIn(answer.body)) + " of " + std::to_string(events) + " events after "
                         + std::to_string(took) + " ms, " + (isWhole ? "complete" : "the connection ended"));
        // A connection that is closed without having taken the request breaks nothing.
        if (!isWhole && !awaitEvent(world, id, 1, 300).empty() && took < 4900) {
            std::printf("LOST: the connection of %s ended after %d ms with %d of %d events\n",
                        id.c_str(),
                        static_cast<int>(took),
                        eventsIn(answer.body),
                        events);
            isBroken = true;
        }
        if (!isWhole || answer.header("connection") == "close") {
            break;
        }
    }
    ::close(fd);
    stopper.join();
    return isBroken ? 1 : 0;
}

inline const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all{
        {"end-behind-cut", &endBehindCut},
        {"waiting-at-stop", &waitingAtStop},
        {"next-on-kept-connection", &nextOnKeptConnection},
    };
    return all;
}
