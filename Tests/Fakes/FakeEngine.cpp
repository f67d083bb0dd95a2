#include <Tests/Fakes/FakeEngine.h>

#include <LibBase/Hash.h>
#include <LibHttp/ServerSentEvents.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;
using std::chrono::microseconds;

constexpr std::uint64_t bodyLimit = 16777216;
constexpr std::uint32_t defaultTokens = 16;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;
constexpr const char *crashMark = "crash-the-engine";
constexpr const char *impossibleMark = "impossible-item";
constexpr std::size_t kilobyte = 1024;
constexpr std::size_t notesKept = 65536;
constexpr std::size_t eventsKept = 4096;
constexpr int slowStartFactor = 3;

std::string tokenAt(const std::string &prompt, std::uint32_t index)
{
    return 't' + std::to_string(stableHash(prompt, index) % 1000) + ' ';
}

std::string promptOf(const Json &body)
{
    if (body.contains("messages")) {
        return body["messages"].dump();
    }
    return body.value("prompt", std::string());
}

HttpResponse jsonResponse(int status, const Json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

Json parseObject(const std::string &text)
{
    Json parsed = Json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

} // namespace

FakeEngine::FakeEngine(EventLoop &loop, const Address &address, Options options)
    : loop(loop)
    , options(options)
    , started(std::chrono::steady_clock::now())
    , changed(this->started)
    , cache(options.cachedBlocks,
            [this](bool isStored, const PrefixBlock &block) {
                this->addCacheEvent(isStored, block);
            })
    , orders(this->clock, options.orders)
    , reports{Report{this->started, 0, 0}}
    , server(loop, address, {bodyLimit}, [this](const HttpRequest &request, const Reply &reply) {
        this->serve(request, reply);
    })
{
}

const Address &FakeEngine::address() const
{
    return this->server.address();
}

std::string FakeEngine::expectedText(const std::string &prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        text += tokenAt(prompt, i);
    }
    return text;
}

const std::map<std::string, std::uint32_t> &FakeEngine::starts() const
{
    return this->startsByPrompt;
}

void FakeEngine::serve(const HttpRequest &request, const Reply &reply)
{
    this->peers.insert(request.peer);
    if (this->unresponsivePeers.contains(request.peer)) {
        this->unanswered.push_back(reply);
        return;
    }
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions") {
        this->complete(request, reply);
    } else if (request.path == EngineProtocol::ordersPath) {
        this->order(request, reply);
    } else if (request.path == "/cancel") {
        this->cancel(request, reply);
    } else if (request.path == "/load") {
        reply->send(jsonResponse(statusOk, this->load()));
    } else if (request.path == "/events") {
        reply->send(jsonResponse(statusOk, this->events(request)));
    } else if (request.path == "/counts") {
        reply->send(jsonResponse(statusOk, this->counts()));
    } else if (request.path == "/notes") {
        std::string lines;
        for (const std::string &line : this->notes) {
            lines += line + '\n';
        }
        reply->send({statusOk, {}, lines});
    } else if (request.path == "/faults") {
        this->setFaults(request, reply);
    } else if (request.path == "/kv/export") {
        this->exportCache(request, reply);
    } else if (request.path == "/kv/import") {
        this->importCache(request, reply);
    } else {
        reply->send({statusNotFound, {}, {}});
    }
}

void FakeEngine::complete(const HttpRequest &request, const Reply &reply)
{
    if (this->refuses) {
        HttpResponse refusal = jsonResponse(statusUnavailable, {{"error", "the engine takes no requests"}});
        if (this->isLeaving) {
            refusal.headers["Dogwoodkeel-Leaving"] = "true";
        }
        reply->send(refusal);
        return;
    }
    const Json body = parseObject(request.body);
    const std::string prompt = promptOf(body);
    if (prompt.empty() || prompt.find(impossibleMark) != std::string::npos) {
        reply->send(jsonResponse(statusBadRequest, {{"error", "the prompt cannot be served"}}));
        return;
    }
    if (prompt.find(crashMark) != std::string::npos) {
        std::_Exit(EXIT_FAILURE);
    }
    ++this->startsByPrompt[prompt];
    this->startsWhileLeaving += this->isLeaving ? 1 : 0;
    Stream stream;
    stream.reply = reply;
    stream.requestId = body.value("request_id", std::string());
    stream.prompt = prompt;
    stream.isChat = body.contains("messages");
    stream.end = body.value("max_tokens", defaultTokens);
    if (body.contains("resume")) {
        stream.next = body["resume"].value("tokens", 0U);
        stream.text = body["resume"].value("text", std::string());
    }
    this->recordEvent("start", stream.requestId);
    this->onChange();
    this->queue.push_back(std::move(stream));
    this->admit();
    this->armStep();
}

void FakeEngine::admit()
{
    this->onChange();
    while (this->streams.size() < this->options.capacity && !this->queue.empty()) {
        Stream stream = std::move(this->queue.front());
        this->queue.pop_front();
        const std::string text = stream.prompt + stream.text;
        const std::size_t cached = this->cache.match(PrefixCache::blocksOf(text)) * PrefixCache::blockBytes;
        stream.prefillLeft = this->options.prefill + this->options.prefillPerKilobyte * (text.size() - cached) / kilobyte;
        this->streams.push_back(std::move(stream));
    }
    this->maxStreams = std::max(this->maxStreams, this->streams.size());
    this->maxQueued = std::max(this->maxQueued, this->queue.size());
}

void FakeEngine::armStep()
{
    if (this->isStepping || this->streams.empty()) {
        return;
    }
    this->isStepping = true;
    microseconds prefill{0};
    int decoding = 0;
    for (const Stream &stream : this->streams) {
        prefill += stream.prefillLeft;
        decoding += stream.prefillLeft.count() == 0 ? 1 : 0;
    }
    this->prefillOfStep = std::min(prefill, this->options.prefillChunk);
    const SteadyTime now = std::chrono::steady_clock::now();
    const bool isCold = now - this->started < this->options.slowStart;
    const auto cost = this->options.step + this->options.perStream * decoding + this->prefillOfStep;
    const double factor = this->slowness * (isCold ? slowStartFactor : 1);
    // A step begins at the planned end of the previous one, or else each step would be longer by the delay of the timer.
    // An engine that was not scheduled for a while catches up on at most one step.
    const SteadyTime begin = std::max(this->stepEnd, now - cost);
    this->stepEnd = begin + std::chrono::duration_cast<SteadyTime::duration>(cost * factor);
    const auto delay = std::chrono::round<std::chrono::milliseconds>(this->stepEnd - now);
    this->loop.schedule(std::max(delay, std::chrono::milliseconds(0)), [this] {
        this->step();
    });
}

void FakeEngine::step()
{
    this->isStepping = false;
    this->dropDisconnected();
    for (Stream &stream : this->streams) {
        if (stream.prefillLeft.count() == 0) {
            this->emit(stream);
        }
    }
    this->spendPrefill();
    this->onChange();
    std::erase_if(this->streams, [this](const Stream &stream) {
        if (stream.next < stream.end) {
            return false;
        }
        this->cache.insert(PrefixCache::blocksOf(stream.prompt + stream.text));
        return true;
    });
    this->admit();
    this->armStep();
}

void FakeEngine::spendPrefill()
{
    for (Stream &stream : this->streams) {
        if (stream.prefillLeft.count() == 0) {
            continue;
        }
        const microseconds spent = std::min(stream.prefillLeft, this->prefillOfStep);
        stream.prefillLeft -= spent;
        this->prefillOfStep -= spent;
        if (stream.prefillLeft.count() == 0) {
            this->cache.insert(PrefixCache::blocksOf(stream.prompt + stream.text));
            if (!stream.isUnresponsive) {
                stream.reply->start(statusOk, {{"Content-Type", "text/event-stream"}});
            }
            this->emit(stream);
        }
    }
}

void FakeEngine::emit(Stream &stream)
{
    std::string token;
    if (stream.next < stream.end) {
        token = tokenAt(stream.prompt, stream.next++);
        stream.text += token;
        ++this->tokens;
    }
    if (stream.isUnresponsive) {
        return;
    }
    if (!token.empty()) {
        const bool isLast = stream.next >= stream.end;
        Json choice{{"index", 0}, {"finish_reason", isLast ? Json("stop") : Json()}};
        if (stream.isChat) {
            choice["delta"] = {{"content", token}};
        } else {
            choice["text"] = token;
        }
        stream.reply->write(ServerSentEvents::format(Json({{"choices", Json::array({choice})}}).dump()));
    }
    if (stream.next >= stream.end) {
        stream.reply->write(ServerSentEvents::format("[DONE]"));
        stream.reply->finish();
    }
}

void FakeEngine::dropDisconnected()
{
    this->onChange();
    const auto isDisconnected = [this](const Stream &stream) {
        if (stream.isUnresponsive || stream.reply->isConnected()) {
            return false;
        }
        ++this->cancelled;
        this->recordEvent("hangup", stream.requestId);
        this->cache.insert(PrefixCache::blocksOf(stream.prompt + stream.text));
        return true;
    };
    std::erase_if(this->streams, isDisconnected);
    std::erase_if(this->queue, isDisconnected);
}

void FakeEngine::order(const HttpRequest &request, const Reply &reply)
{
    const auto order = request.method == "POST" ? EngineProtocol::parseOrder(request.body) : std::nullopt;
    const bool isStale = order && !this->orders.apply(*order);
    reply->send({isStale ? statusConflict : statusOk,
                 {{"Content-Type", "application/json"}},
                 EngineProtocol::format(this->orders.report())});
}

void FakeEngine::cancel(const HttpRequest &request, const Reply &reply)
{
    const std::string id = parseObject(request.body).value("request_id", std::string());
    Json answer{{"cancelled", false}};
    const auto isRequested = [this, &id, &answer](const Stream &stream) {
        if (id.empty() || stream.requestId != id) {
            return false;
        }
        ++this->cancelled;
        answer = {{"cancelled", true}, {"tokens", stream.next}};
        this->recordEvent("cancel", id);
        this->cache.insert(PrefixCache::blocksOf(stream.prompt + stream.text));
        if (stream.reply->isStarted()) {
            stream.reply->finish();
        } else {
            stream.reply->send(jsonResponse(statusGone, {{"error", "cancelled"}}));
        }
        return true;
    };
    this->onChange();
    std::erase_if(this->streams, isRequested);
    std::erase_if(this->queue, isRequested);
    this->admit();
    reply->send(jsonResponse(statusOk, answer));
}

void FakeEngine::setFaults(const HttpRequest &request, const Reply &reply)
{
    const Json body = parseObject(request.body);
    this->slowness = body.value("slow", this->slowness);
    this->refuses = body.value("refuse", this->refuses);
    this->isLeaving = body.value("leaving", this->isLeaving);
    reply->send(jsonResponse(statusOk, Json::object()));
    if (!body.value("silent", false)) {
        return;
    }
    // Running streams continue without sending output, as on a real engine whose caller is unreachable.
    this->unresponsivePeers = this->peers;
    for (Stream &stream : this->streams) {
        stream.isUnresponsive = true;
    }
    for (Stream &stream : this->queue) {
        stream.isUnresponsive = true;
    }
}

void FakeEngine::exportCache(const HttpRequest &request, const Reply &reply)
{
    const Json body = parseObject(request.body);
    std::vector<PrefixBlock> blocks
        = PrefixCache::blocksOf(body.value("prompt", std::string()) + body.value("text", std::string()));
    blocks.resize(this->cache.match(blocks));
    Json listed = Json::array();
    for (const PrefixBlock &block : blocks) {
        listed.push_back({{"hash", block.hash}, {"parent", block.parent}, {"text", block.text}});
    }
    const auto cost = this->options.transferPerKilobyte * (blocks.size() * PrefixCache::blockBytes) / kilobyte;
    this->loop.schedule(std::chrono::ceil<std::chrono::milliseconds>(cost), [reply, listed = std::move(listed)] {
        reply->send(jsonResponse(statusOk, {{"blocks", listed}}));
    });
}

void FakeEngine::importCache(const HttpRequest &request, const Reply &reply)
{
    std::vector<PrefixBlock> blocks;
    for (const Json &block : parseObject(request.body).value("blocks", Json::array())) {
        blocks.push_back(
            {block.value("hash", std::uint64_t(0)), block.value("parent", std::uint64_t(0)), block.value("text", std::string())});
    }
    const auto cost = this->options.transferPerKilobyte * (blocks.size() * PrefixCache::blockBytes) / kilobyte;
    this->loop.schedule(std::chrono::ceil<std::chrono::milliseconds>(cost), [this, reply, blocks = std::move(blocks)] {
        this->cache.insert(blocks);
        reply->send(jsonResponse(statusOk, Json::object()));
    });
}

Json FakeEngine::load()
{
    const SteadyTime reportedUntil = std::chrono::steady_clock::now() - this->options.reportLag;
    while (this->reports.size() > 1 && this->reports[1].at <= reportedUntil) {
        this->reports.pop_front();
    }
    const Report &report = this->reports.front();
    return {{"running", report.running},
            {"queued", report.queued},
            {"capacity", this->options.capacity},
            {"instance", std::to_string(this->started.time_since_epoch().count())},
            {"leaving", this->isLeaving && !this->refuses}};
}

Json FakeEngine::events(const HttpRequest &request) const
{
    const std::uint64_t after = std::strtoull(queryValue(request.query, "after").value_or("0").c_str(), nullptr, 10);
    const SteadyTime reportedUntil = std::chrono::steady_clock::now() - this->options.eventLag;
    Json listed = Json::array();
    std::uint64_t next = after;
    for (const CacheEvent &event : this->cacheEvents) {
        if (event.number <= after || event.at > reportedUntil) {
            continue;
        }
        listed.push_back({{"number", event.number},
                          {"kind", event.isStored ? "stored" : "removed"},
                          {"hash", event.block.hash},
                          {"parent", event.block.parent},
                          {"text", event.block.text}});
        next = event.number;
    }
    return {{"events", listed}, {"next", next}, {"block_bytes", PrefixCache::blockBytes}};
}

Json FakeEngine::counts() const
{
    return {{"starts", this->startsByPrompt},
            {"tokens", this->tokens},
            {"cancelled", this->cancelled},
            {"running", this->streams.size()},
            {"queued", this->queue.size()},
            {"most_streams", this->maxStreams},
            {"most_queued", this->maxQueued},
            {"over_capacity_us", this->overCapacity.count()},
            {"starts_while_leaving", this->startsWhileLeaving},
            {"cached_blocks", this->cache.size()}};
}

void FakeEngine::onChange()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!this->queue.empty()) {
        this->overCapacity += std::chrono::duration_cast<microseconds>(now - this->changed);
    }
    this->changed = now;
    this->reports.push_back({now, this->streams.size(), this->queue.size()});
    const SteadyTime reportedUntil = now - this->options.reportLag;
    while (this->reports.size() > 1 && this->reports[1].at <= reportedUntil) {
        this->reports.pop_front();
    }
}

void FakeEngine::recordEvent(const char *what, const std::string &requestId)
{
    const auto at = std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch());
    const std::size_t present = this->streams.size() + this->queue.size();
    this->notes.push_back(std::to_string(at.count()) + ' ' + what + ' ' + std::to_string(present) + ' ' + requestId);
    if (this->notes.size() > notesKept) {
        this->notes.pop_front();
    }
}

void FakeEngine::addCacheEvent(bool isStored, const PrefixBlock &block)
{
    ++this->lastEvent;
    if (this->options.eventLostEvery != 0 && this->lastEvent % this->options.eventLostEvery == 0) {
        return;
    }
    this->cacheEvents.push_back({std::chrono::steady_clock::now(), this->lastEvent, isStored, block});
    if (this->cacheEvents.size() > eventsKept) {
        this->cacheEvents.pop_front();
    }
}

} // namespace Dogwoodkeel
