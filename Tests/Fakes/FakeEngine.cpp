#include <Tests/Fakes/FakeEngine.h>

#include <LibBase/Hash.h>
#include <LibHttp/ServerSentEvents.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::uint64_t bodyLimit = 16777216;
constexpr std::uint32_t defaultTokens = 16;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr const char *crashMark = "crash-the-engine";
constexpr const char *impossibleMark = "impossible-item";

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

} // namespace

FakeEngine::FakeEngine(EventLoop &loop, const Address &address, std::size_t capacity, Costs costs)
    : loop(loop)
    , capacity(capacity)
    , costs(costs)
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
    return this->started;
}

void FakeEngine::serve(const HttpRequest &request, const Reply &reply)
{
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions") {
        this->complete(request, reply);
        return;
    }
    if (request.path == "/load") {
        const Json load{{"running", this->streams.size()},
                        {"capacity", this->capacity},
                        {"tokens", this->tokens},
                        {"most_running", this->mostStreams}};
        reply->send({statusOk, {{"Content-Type", "application/json"}}, load.dump()});
        return;
    }
    reply->send({statusNotFound, {}, {}});
}

void FakeEngine::complete(const HttpRequest &request, const Reply &reply)
{
    const Json body = Json::parse(request.body, nullptr, false);
    const std::string prompt = body.is_object() ? promptOf(body) : std::string();
    if (prompt.empty() || prompt.find(impossibleMark) != std::string::npos) {
        reply->send({statusBadRequest, {{"Content-Type", "application/json"}}, "{\"error\":\"the prompt cannot be served\"}"});
        return;
    }
    if (prompt.find(crashMark) != std::string::npos) {
        std::abort();
    }
    ++this->started[prompt];
    Stream stream{reply, prompt, body.contains("messages"), 0, body.value("max_tokens", defaultTokens)};
    if (body.contains("resume")) {
        stream.next = body["resume"].value("tokens", 0U);
    }
    this->loop.schedule(this->costs.prefill, [this, stream = std::move(stream)] {
        stream.reply->start(statusOk, {{"Content-Type", "text/event-stream"}});
        this->streams.push_back(stream);
        this->mostStreams = std::max(this->mostStreams, this->streams.size());
        this->armStep();
    });
}

void FakeEngine::armStep()
{
    if (this->isStepping || this->streams.empty()) {
        return;
    }
    this->isStepping = true;
    const auto cost = this->costs.step + this->costs.perStream * static_cast<int>(this->streams.size());
    this->loop.schedule(std::chrono::ceil<std::chrono::milliseconds>(cost), [this] {
        this->step();
    });
}

void FakeEngine::step()
{
    this->isStepping = false;
    std::erase_if(this->streams, [](const Stream &stream) {
        return !stream.reply->isConnected();
    });
    const std::size_t served = std::min(this->capacity, this->streams.size());
    for (std::size_t i = 0; i < served; ++i) {
        this->emit(this->streams[i]);
    }
    std::erase_if(this->streams, [](const Stream &stream) {
        return stream.next >= stream.end;
    });
    this->armStep();
}

void FakeEngine::emit(Stream &stream)
{
    if (stream.next < stream.end) {
        const std::string token = tokenAt(stream.prompt, stream.next++);
        ++this->tokens;
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

} // namespace Dogwoodkeel
