#include <Services/Lane/ItemRun.h>

#include <LibFleet/EngineEvent.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds cancelTimeout{2000};
constexpr std::size_t eventLimit = 1048576;
constexpr std::string_view streamEnd = "[DONE]";
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusServerError = 500;
constexpr int statusUnavailable = 503;

bool isChat(const Json &item)
{
    return item.contains("messages");
}

} // namespace

ItemRun::ItemRun(HttpClient &http, const Clock &clock, HeldItem held, std::string runId)
    : http(http), clock(clock), current(std::move(held)), runId(std::move(runId)), events(eventLimit)
{
}

SteadyTime ItemRun::sent() const
{
    return this->sentAt;
}

SteadyTime ItemRun::lastProgress() const
{
    return this->progressAt;
}

const HeldItem &ItemRun::held() const
{
    return this->current;
}

std::string ItemRun::engineBody() const
{
    Json body = Json::parse(this->current.item.body, nullptr, false);
    body["stream"] = true;
    body["request_id"] = this->runId;
    if (this->current.tokens > 0) {
        body["resume"] = {{"text", this->current.text}, {"tokens", this->current.tokens}};
    }
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool ItemRun::hasProceeded() const
{
    return this->hasToken;
}

void ItemRun::start(const Address &engine, ConnectionChoice connection, Hooks hooks)
{
    this->engine = engine;
    this->hooks = std::move(hooks);
    this->sentAt = this->clock.now();
    this->progressAt = this->sentAt;
    const Json item = Json::parse(this->current.item.body, nullptr, false);
    const HttpRequest request{.method = "POST",
                              .path = isChat(item) ? "/v1/chat/completions" : "/v1/completions",
                              .headers = {{"Content-Type", "application/json"}},
                              .body = this->engineBody()};
    ExchangeHooks exchangeHooks{
        .onHeaders =
            [self = this->shared_from_this()](int status, const HttpHeaders &) {
                self->status = status;
            },
        .onData =
            [self = this->shared_from_this()](std::string_view data) {
                self->onData(data);
            },
        .onEnd =
            [self = this->shared_from_this()](ExchangeEnd end) {
                self->onEnd(end);
            },
    };
    this->exchange = this->http.start(engine, request, connection, std::move(exchangeHooks));
}

HeldItem ItemRun::stop(const Gap &cancelled)
{
    const Json body{{"request_id", this->runId}};
    this->http.fetch(
        this->engine,
        {.method = "POST", .path = "/cancel", .headers = {{"Content-Type", "application/json"}}, .body = body.dump()},
        cancelTimeout,
        [cancelled, &clock = this->clock, sent = this->clock.now()](ExchangeEnd end, const HttpResponse &response) {
            if (cancelled && end == ExchangeEnd::Complete && response.status == statusOk) {
                cancelled(clock.now() - sent);
            }
        });
    this->http.cancel(this->exchange);
    this->hooks = {};
    return this->current;
}

void ItemRun::onData(std::string_view data)
{
    if (this->status != statusOk) {
        this->errorBody.append(data);
        return;
    }
    const std::uint32_t before = this->current.tokens;
    for (const std::string &event : this->events.feed(data)) {
        if (event == streamEnd) {
            this->sawEnd = true;
            continue;
        }
        const auto parsed = EngineEvent::parse(event);
        if (!parsed) {
            continue;
        }
        if (!parsed->text.empty()) {
            this->current.text += parsed->text;
            ++this->current.tokens;
        }
        if (!parsed->finishReason.empty()) {
            this->finishReason = parsed->finishReason;
        }
    }
    this->reportGap(this->current.tokens - before);
}

void ItemRun::reportGap(std::uint32_t tokens)
{
    const SteadyTime now = this->clock.now();
    const auto passed = now - std::exchange(this->progressAt, now);
    if (tokens == 0) {
        return;
    }
    if (std::exchange(this->hasToken, true)) {
        this->hooks.gap(passed / tokens);
    } else {
        this->hooks.firstToken();
    }
}

void ItemRun::onEnd(ExchangeEnd end)
{
    if (end == ExchangeEnd::Complete && this->status == statusOk && this->sawEnd) {
        const Json result{{"text", this->current.text},
                          {"finish_reason", this->finishReason},
                          {"usage", {{"completion_tokens", this->current.tokens}}}};
        this->finish(RunEnd::Finished, result.dump(-1, ' ', false, Json::error_handler_t::replace));
        return;
    }
    if (end == ExchangeEnd::Complete && this->status >= statusBadRequest && this->status < statusServerError) {
        this->finish(RunEnd::Rejected, this->errorBody);
        return;
    }
    const bool isRefusal = end == ExchangeEnd::NotConnected || this->status == statusUnavailable;
    this->finish(isRefusal ? RunEnd::Refused : RunEnd::Lost, "the endpoint was lost");
}

void ItemRun::finish(RunEnd end, const std::string &detail)
{
    if (this->hooks.ended) {
        std::exchange(this->hooks, {}).ended(end, detail);
    }
}

} // namespace Dogwoodkeel
