// The cases of this review.
#pragma once

#include "world.hpp"

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
    constexpr int replicas = 3;
    constexpr int events = 60;
    ReplicaOptions options;
    options.events = events;
    options.intervalMs = 50;
    options.isUnframed = true;
    bool isStarted = true;
    for (int replica = 1; replica <= replicas; ++replica) {
        options.id = "i-aaaa000" + std::to_string(replica);
        isStarted = isStarted && world.addReplica(replica, options, "svc-lm", "zone-" + std::to_string(replica));
    }
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
    // One item, and streams that are spread over all replicas.
    if (!submitJob(world, 1, "/lot/", "7c41e09b52d6a3f8", {"item-body"})) {
        return 2;
    }
    constexpr int streams = 12;
    std::vector<Message> answers(streams);
    std::vector<std::thread> clients;
    for (int number = 0; number < streams; ++number) {
        clients.emplace_back([&world, &answers, number] {
            const std::string id = "c0de" + std::to_string(100 + number);
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
    const int number = runner.back() - '0';
    if (hasTrouble) {
        world.cutReplica(number, true);
        pause(20);
        world.killReplica(number);
        pause(900);
        world.restartReplica(number, "i-bbbb000" + std::to_string(number));
        pause(400);
        world.cutReplica(number, false);
    }
    bool isBroken = false;
    for (int stream = 0; stream < streams; ++stream) {
        clients[static_cast<std::size_t>(stream)].join();
        const Message &answer = answers[static_cast<std::size_t>(stream)];
        const std::string id = "c0de" + std::to_string(100 + stream);
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

/** Sends a request and reads the response at a limited rate. @return the response, complete or not */
inline Message
readSlowly(const std::string &address, const std::string &head, const std::string &body, int bytesPerSecond, int timeoutMs)
{
    constexpr int receiveBytes = 16384;
    constexpr int stepMs = 20;
    Message answer;
    const int fd = connectTo(address, 1000, receiveBytes);
    if (fd < 0) {
        return answer;
    }
    const auto until = Clock::now() + Milliseconds(timeoutMs);
    sendAll(fd, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string received;
    std::size_t expected = std::string::npos;
    while (Clock::now() < until && received.size() < expected) {
        std::vector<char> bytes(static_cast<std::size_t>(bytesPerSecond * stepMs / 1000));
        const ssize_t got = ::recv(fd, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            answer.isReset = got < 0;
            break;
        }
        received.append(bytes.data(), static_cast<std::size_t>(got));
        const std::size_t end = received.find("\r\n\r\n");
        const std::size_t length = received.find("Content-Length: ");
        if (end != std::string::npos && length < end) {
            answer.start = received.substr(0, received.find("\r\n"));
            expected = end + 4 + std::stoul(received.substr(length + 16));
        }
        std::this_thread::sleep_for(std::chrono::microseconds(std::int64_t(got) * 1000000 / bytesPerSecond));
    }
    answer.body = std::move(received);
    answer.isComplete = answer.body.size() == expected;
    answer.headers["expected"] = std::to_string(expected);
    ::close(fd);
    return answer;
}

/** Clients read whole answers slowly while their node stops: what the node holds for them must still be sent. */
inline int slowReadersAtStop(World &world, bool hasTrouble)
{
    constexpr int answerBytes = 1800000;
    constexpr int bytesPerSecond = 400000;
    constexpr int deadlineMs = 5000;
    ReplicaOptions options;
    options.answerBytes = answerBytes;
    options.slots = 6;
    options.id = "i-aaaa0001";
    bool isStarted = world.addReplica(1, options, "svc-app", "zone-1");
    options.id = "i-bbbb0001";
    isStarted = isStarted && world.addReplica(2, options, "svc-app", "zone-2");
    const Json service{{"name", "svc-app"}, {"healthPath", "/healthz"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}};
    writeConfiguration(world, 7, Json::array({route("fetch", "safe", "svc-app")}), Json::array({service}));
    for (int number = 1; number <= 3; ++number) {
        world.startNode(number, "zone-" + std::to_string(number));
    }
    if (!isStarted || !world.awaitReady(3)) {
        return 2;
    }
    pause(1500);
    std::atomic<int> cut{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < 4; ++number) {
        clients.emplace_back([&world, &cut, number] {
            const std::string id = "f37c00" + std::to_string(number);
            world.record.add("request " + id + " sent to node-1");
            const auto sent = Clock::now();
            const std::string head = "POST /fetch/2f HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
            const Message answer = readSlowly(world.ip(1) + ":8144", head, "body-" + id, bytesPerSecond, deadlineMs);
            const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent).count();
            const bool isCut = !answer.isComplete && !answer.body.empty() && took < deadlineMs;
            world.record.add("request " + id + ": " + std::to_string(answer.body.size()) + " of " + answer.header("expected")
                             + " bytes after " + std::to_string(took) + " ms" + (isCut ? ", the connection ended" : ""));
            if (isCut) {
                std::printf("LOST: the connection of %s ended after %d ms with %zu of %s bytes\n",
                            id.c_str(),
                            static_cast<int>(took),
                            answer.body.size(),
                            answer.header("expected").c_str());
                ++cut;
            }
        });
    }
    pause(300);
    if (hasTrouble) {
        world.signalNode(1, SIGTERM);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    return cut > 0 ? 1 : 0;
}

/** @return the number of a job's results so far; 0 if it can't be read now. */
inline std::size_t countResults(World &world, int node, const std::string &job)
{
    const Json read = readJob(world, node, job);
    return read.is_object() && read.contains("results") ? read["results"].size() : 0;
}

/**
 * The only replica of a version crashes under streams that may be resumed, and is back soon. Items that the version began must go
 * on there, or begin anew elsewhere.
 */
inline int slotsOfBrokenStreams(World &world, bool hasTrouble)
{
    constexpr int replicas = 6;
    constexpr int slots = 8;
    constexpr int itemsOfJob = 24;
    const std::vector<std::string> jobs{"7c41e09b52d6a3f8", "51fe08c2a97be604"};
    ReplicaOptions options;
    options.slots = slots;
    options.events = 100;
    options.intervalMs = 40;
    bool isStarted = true;
    for (int number = 1; number <= replicas; ++number) {
        options.id = "i-0000000" + std::to_string(number);
        options.version = number == replicas ? "v2" : "v1";
        isStarted = isStarted && world.addReplica(number, options, "svc-lm", "zone-" + std::to_string(number % 3 + 1));
    }
    Json talk = route("talk", "streaming", "svc-lm");
    talk["resumable"] = true;
    talk["maxAttempts"] = 2;
    writeConfiguration(world, 7, Json::array({talk, batchRoute("lot", "svc-lm")}), Json::array({engineService("svc-lm", slots)}));
    for (int number = 1; number <= 3; ++number) {
        world.startNode(number, "zone-" + std::to_string(number));
    }
    if (!isStarted || !world.awaitReady(3)) {
        return 2;
    }
    pause(1500);
    for (std::size_t number = 0; number < jobs.size(); ++number) {
        std::vector<std::string> bodies;
        for (int item = 0; item < itemsOfJob; ++item) {
            bodies.push_back("body-" + jobs[number].substr(0, 4) + "-" + std::to_string(item));
        }
        if (!submitJob(world, static_cast<int>(number) + 1, "/lot/", jobs[number], bodies)) {
            return 2;
        }
    }
    pause(1500);
    std::vector<std::thread> clients;
    for (int number = 0; number < replicas * slots; ++number) {
        clients.emplace_back([&world, number] {
            const std::string id = "c0de" + std::to_string(100 + number);
            const Message answer = request(world.ip(1 + number % 3) + ":8144", streamHead("/talk/2f", id), "body-" + id, 5000);
            world.record.add("stream " + id + " answered " + std::to_string(answer.status()) + ", "
                             + std::to_string(eventsIn(answer.body)) + " events, "
                             + (answer.isComplete ? "ends as complete" : "ends as broken off"));
        });
    }
    pause(1000);
    if (hasTrouble) {
        world.killReplica(replicas);
        pause(1500);
        world.restartReplica(replicas, "i-00000009");
    }
    for (std::thread &client : clients) {
        client.join();
    }
    world.record.add("all streams are over");
    const auto until = Clock::now() + std::chrono::seconds(30);
    std::size_t listed = 0;
    std::size_t before = 0;
    auto lastChange = Clock::now();
    while (Clock::now() < until && listed < jobs.size() * itemsOfJob) {
        pause(500);
        listed = 0;
        for (const std::string &job : jobs) {
            listed += countResults(world, 3, job);
        }
        if (listed != before) {
            lastChange = Clock::now();
            before = listed;
            world.record.add(std::to_string(listed) + " of " + std::to_string(jobs.size() * itemsOfJob) + " items are listed");
        }
    }
    const std::size_t missing = jobs.size() * itemsOfJob - listed;
    const auto calm = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - lastChange).count();
    if (missing > 0) {
        // The rule asks for 5 s without a run; the replicas write each event.
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto nowMs = std::chrono::duration_cast<Milliseconds>(now).count();
        std::int64_t lastEventMs = 0;
        for (const auto &line : world.runs()) {
            lastEventMs = std::max<std::int64_t>(lastEventMs, std::stoll(line[0]));
        }
        const std::string text = std::to_string(missing) + " items are neither completed nor abandoned; no result for "
            + std::to_string(calm) + " s, no replica at work for " + std::to_string((nowMs - lastEventMs) / 1000) + " s";
        world.record.add(text);
        std::printf("LOST: %s\n", text.c_str());
        return calm >= 18 && nowMs - lastEventMs >= 5000 ? 1 : 2;
    }
    return 0;
}

inline const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all{
        {"slots-of-broken-streams", &slotsOfBrokenStreams},
        {"end-behind-cut", &endBehindCut},
        {"waiting-at-stop", &waitingAtStop},
        {"slow-readers-at-stop", &slowReadersAtStop},
        {"next-on-kept-connection", &nextOnKeptConnection},
    };
    return all;
}
