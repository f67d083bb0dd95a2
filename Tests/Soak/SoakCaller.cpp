#include <Tests/Soak/SoakCaller.h>

#include <LibBase/Encoding.h>
#include <Tests/Soak/SoakWorld.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <map>
#include <set>
#include <string_view>
#include <thread>

namespace Dogwoodkeel
{

namespace
{

constexpr int mostTries = 3;
constexpr int mostSubmissions = 6;
constexpr std::size_t itemsOfJob = 4;
/** More than there are places at a few replicas, so that some wait. */
constexpr std::size_t itemsOfLargeJob = 24;
constexpr int mostEnds = 3;
constexpr std::chrono::milliseconds pauseAfterFailure{150};
constexpr std::chrono::milliseconds jobLook{300};
/** One in so many requests is a job, a look at one, or the end of one. */
constexpr int jobEvery = 12;
constexpr const char *lineEnd = "\r\n";
constexpr std::string_view eventEnd = "\n\n";

std::string valueOf(const std::string &head, const std::string &name)
{
    const std::size_t place = head.find("\r\n" + name + ": ");
    if (place == std::string::npos) {
        return {};
    }
    const std::size_t from = place + name.size() + 4;
    return head.substr(from, head.find(lineEnd, from) - from);
}

/** @return the stream that a replica of a version generates. */
std::string streamOf(const std::string &body, std::string_view version)
{
    std::string text;
    std::size_t number = 0;
    for (const std::string &event : outputOf(body, version)) {
        text += "id: " + std::to_string(++number) + "\ndata: " + event + "\n\n";
    }
    return text;
}

/** @return the whole events at the start of a stream. */
std::string wholeEvents(const std::string &text)
{
    const std::size_t end = text.rfind(eventEnd);
    return end == std::string::npos ? std::string() : text.substr(0, end + eventEnd.size());
}

std::size_t countEvents(const std::string &events)
{
    std::size_t count = 0;
    for (std::size_t end = events.find(eventEnd); end != std::string::npos; end = events.find(eventEnd, end + 1)) {
        ++count;
    }
    return count;
}

std::string joined(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts) {
        text += (text.empty() ? "" : "\n") + part;
    }
    return text;
}

} // namespace

const std::array<SoakCaller::Kind, 4> SoakCaller::onlineKinds{Kind{"r", Repeats::Allowed, true},
                                                              Kind{"o", Repeats::Never, true},
                                                              Kind{"s", Repeats::Allowed, false},
                                                              Kind{"u", Repeats::Never, false}};

SoakCaller::SoakCaller(SoakRecord &record, std::vector<Address> nodes, std::string name, unsigned seed)
    : record(record), nodes(std::move(nodes)), name(std::move(name)), random(seed)
{
}

std::string SoakCaller::nextId()
{
    return this->name + "-" + std::to_string(++this->lastId);
}

Address SoakCaller::anyNode()
{
    return this->nodes[this->random() % this->nodes.size()];
}

void SoakCaller::run(const std::atomic<bool> &isStopped)
{
    while (!isStopped) {
        if (this->random() % jobEvery != 0) {
            this->callOnline(onlineKinds[this->random() % onlineKinds.size()]);
            continue;
        }
        const std::vector<std::string> open = this->record.openJobs();
        if (open.size() < this->nodes.size() || this->random() % 2 == 0) {
            this->submitJob(itemsOfJob);
        } else if (this->random() % 8 == 0) {
            this->endJob(open[this->random() % open.size()]);
        } else {
            this->readJob(open[this->random() % open.size()]);
        }
    }
}

bool SoakCaller::callOnline(const Kind &kind)
{
    const std::string body = "body of " + this->nextId();
    Received received;
    for (int attempt = 0; attempt < mostTries; ++attempt) {
        const TryEnd end = this->tryOnline(kind, body, received);
        if (end == TryEnd::Answered) {
            return true;
        }
        std::this_thread::sleep_for(pauseAfterFailure);
        if (end == TryEnd::Open && kind.repeats == Repeats::Never) {
            return false;
        }
    }
    return false;
}

TryEnd SoakCaller::tryOnline(const Kind &kind, const std::string &body, Received &received)
{
    const std::string id = this->nextId();
    const std::size_t known = countEvents(received.events);
    const bool isTakenUp = known > 0;
    const std::string headers
        = isTakenUp ? "Resumes: " + received.firstId + "\r\nLast-Event-Id: " + std::to_string(known) + "\r\n" : "";
    const Response response = this->call(std::string("POST /") + kind.prefix + "/x", id, body, headers);
    TryEnd end = TryEnd::Open;
    if (response.status == 200 && response.isComplete) {
        end = TryEnd::Answered;
    } else if (response.status == 503 || response.status == 429) {
        end = TryEnd::Refused;
    }
    if (response.status == 200 && kind.isStream) {
        received.events += response.isComplete ? response.body : wholeEvents(response.body);
        received.firstId = isTakenUp ? received.firstId : id;
        received.isComplete = response.isComplete;
        this->checkStream(id, body, received);
    } else if (response.status == 200) {
        this->checkAnswer(id, body, response);
    } else if (response.status >= 400 && response.status < 500 && response.status != 429) {
        this->record.violate("request " + id + " got " + std::to_string(response.status));
    }
    if (isTakenUp) {
        this->record.noteTakenUp(countEvents(received.events) > known || received.isComplete);
    }
    this->record.noteTry(id, kind.repeats, end);
    return end;
}

void SoakCaller::checkAnswer(const std::string &id, const std::string &body, const Response &response)
{
    const std::string whole = "done " + body;
    if (response.isComplete ? response.body != whole : !whole.starts_with(response.body)) {
        this->record.violate("request " + id + " got a wrong answer: " + response.body);
    }
}

void SoakCaller::checkStream(const std::string &id, const std::string &body, const Received &received)
{
    // A stream may break off, but what came of it must be the beginning of what one version generates, and it must not look
    // whole.
    const bool isRight = std::ranges::any_of(softwareVersions, [&body, &received](std::string_view version) {
        const std::string whole = streamOf(body, version);
        return received.isComplete ? received.events == whole : whole.starts_with(received.events);
    });
    if (!isRight) {
        this->record.violate("request " + id + (received.isComplete ? " got a wrong whole stream: " : " got wrong parts: ")
                             + received.events);
    }
}

void SoakCaller::runCrashing(const std::string &content, const std::atomic<bool> &isStopped)
{
    // Of one kind, as its target is part of what the request is known by.
    const Kind &kind = onlineKinds[std::hash<std::string>()(content) % onlineKinds.size()];
    while (!isStopped) {
        Received received;
        if (this->tryOnline(kind, content, received) == TryEnd::Answered) {
            this->record.violate("a request that crashes replicas was answered as if it had been served");
        }
        std::this_thread::sleep_for(pauseAfterFailure * (1 + this->random() % 4));
    }
}

void SoakCaller::runJobs(const std::atomic<bool> &isStopped)
{
    while (!isStopped) {
        this->connection.reset();
        const std::optional<std::string> job = this->submitJob(itemsOfLargeJob);
        if (!job) {
            continue;
        }
        std::this_thread::sleep_for(this->timeBeforeEnd());
        this->connection.reset();
        if (this->random() % 4 != 0) {
            this->endJob(*job);
        } else {
            this->readJob(*job);
        }
    }
}

std::chrono::milliseconds SoakCaller::timeBeforeEnd()
{
    static constexpr std::array<unsigned, 4> longest{1, 60, 500, 2500};
    return std::chrono::milliseconds(this->random() % longest[this->random() % longest.size()]);
}

std::optional<std::string> SoakCaller::submitJob(std::size_t itemCount)
{
    const std::string job = this->nextId();
    nlohmann::json requests = nlohmann::json::array();
    std::map<std::string, std::set<std::string>> outputs;
    std::vector<std::string> items;
    for (std::size_t number = 0; number < itemCount; ++number) {
        const std::string item = job + "." + std::to_string(number);
        const std::string body = "item " + item;
        requests.push_back({{"id", item}, {"path", "/b/" + item}, {"body", encodeBase64(body)}, {"tokens", 9}});
        for (const std::string_view version : softwareVersions) {
            outputs[item].insert(joined(outputOf(body, version)));
        }
        items.push_back(item);
    }
    const std::string body = nlohmann::json{{"requests", requests}}.dump();
    bool isRefused = true;
    for (int attempt = 0; attempt < mostSubmissions; ++attempt) {
        const int status = this->call("POST /b/job", job, body).status;
        if (status == 202) {
            this->record.noteJob(job, outputs);
            return job;
        }
        isRefused = isRefused && (status == 503 || status == 429);
        std::this_thread::sleep_for(pauseAfterFailure);
    }
    if (isRefused) {
        this->record.noteRefusedJob(items);
    }
    return std::nullopt;
}

void SoakCaller::readJob(const std::string &job)
{
    const Response response = this->call("GET /lots/" + job + "?afterRev=0", this->nextId(), {});
    if (response.status == 404 || response.status == 410) {
        this->record.violate("job " + job + " was accepted, and a node says that there is none");
        return;
    }
    const nlohmann::json read = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || !response.isComplete || !read.is_object()) {
        return;
    }
    std::vector<std::pair<std::string, std::string>> results;
    for (const nlohmann::json &result : read["results"]) {
        results.emplace_back(result.value("id", ""), result.value("output", ""));
    }
    this->record.noteResults(job, read.value("total", std::uint64_t(0)), results);
}

void SoakCaller::endJob(const std::string &job)
{
    this->record.noteEndAsked(job);
    for (int attempt = 0; attempt < mostEnds; ++attempt) {
        const Response response = this->call("DELETE /lots/" + job, this->nextId(), {});
        if (response.isComplete && response.status >= 200 && response.status < 300) {
            this->record.noteEndAcknowledged(job);
            return;
        }
        std::this_thread::sleep_for(pauseAfterFailure);
    }
}

void SoakCaller::finishJobs(std::chrono::seconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
        const std::vector<std::string> open = this->record.openJobs();
        if (open.empty()) {
            return;
        }
        for (const std::string &job : open) {
            this->readJob(job);
        }
        std::this_thread::sleep_for(jobLook);
    }
}

double SoakCaller::probe(int count)
{
    int served = 0;
    for (int request = 0; request < count; ++request) {
        this->connection.reset();
        served += this->callOnline({"s", Repeats::Allowed, false}) ? 1 : 0;
    }
    return static_cast<double>(served) / count;
}

SoakCaller::Response
SoakCaller::call(const std::string &startLine, const std::string &id, const std::string &body, const std::string &headers)
{
    try {
        if (!this->connection) {
            this->connection = std::make_unique<RawConnection>(this->anyNode());
        }
    } catch (const std::exception &) {
        // The node is not there; the caller tries another.
        std::this_thread::sleep_for(pauseAfterFailure);
        return {};
    }
    const std::string head = startLine + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const bool isSent = this->connection->send(head + body);
    Response response = isSent ? this->readResponse() : Response();
    if (!response.isComplete) {
        this->connection.reset();
    }
    return response;
}

SoakCaller::Response SoakCaller::readResponse()
{
    constexpr std::size_t statusPlace = 9;
    Response response;
    const std::string received = this->connection->readUntil("\r\n\r\n");
    const std::size_t headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return response;
    }
    const std::string head = received.substr(0, headEnd + 2);
    response.status = std::atoi(head.c_str() + statusPlace);
    const std::size_t bodyStart = headEnd + 4;
    if (valueOf(head, "Transfer-Encoding") == "chunked") {
        this->readChunks(response, bodyStart);
    } else {
        const std::size_t length = std::stoul("0" + valueOf(head, "Content-Length"));
        const std::string all = this->connection->readBytes(bodyStart + length);
        response.body = all.substr(bodyStart, length);
        response.isComplete = response.body.size() == length;
        this->connection->drop(std::min(all.size(), bodyStart + length));
    }
    if (valueOf(head, "Connection") == "close") {
        this->connection.reset();
    }
    return response;
}

void SoakCaller::readChunks(Response &response, std::size_t from)
{
    for (;;) {
        std::string all = this->connection->readBytes(from + 3);
        std::size_t line = all.find(lineEnd, from);
        while (line == std::string::npos && !this->connection->isClosed()) {
            const std::size_t before = all.size();
            all = this->connection->readBytes(before + 1);
            line = all.find(lineEnd, from);
            if (all.size() == before) {
                return;
            }
        }
        if (line == std::string::npos) {
            return;
        }
        const std::size_t size = std::strtoul(all.c_str() + from, nullptr, 16);
        const std::size_t next = line + 2 + size + 2;
        all = this->connection->readBytes(next);
        response.body += all.substr(std::min(line + 2, all.size()), size);
        if (all.size() < next) {
            return;
        }
        from = next;
        if (size == 0) {
            response.isComplete = true;
            this->connection->drop(next);
            return;
        }
    }
}

} // namespace Dogwoodkeel
