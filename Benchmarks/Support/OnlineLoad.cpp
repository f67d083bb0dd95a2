#include <Benchmarks/Support/OnlineLoad.h>

#include <LibHttp/ServerSentEvents.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr std::size_t eventLimit = 1048576;
constexpr std::chrono::seconds lookupTimeout{10};

using SteadyClock = std::chrono::steady_clock;

/** One streamed answer. */
struct Stream
{
    SteadyClock::time_point sent;
    SteadyClock::time_point last;
    ServerSentEvents events{eventLimit};
    std::uint32_t tokens = 0;
    int status = 0;
};

std::chrono::milliseconds pauseFor(double rate, std::mt19937_64 &random)
{
    std::exponential_distribution<double> pause(rate);
    return std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(pause(random)));
}

} // namespace

OnlineLoad::OnlineLoad(std::vector<Address> entries, OnlineMix mix, std::uint64_t seed)
    : client(this->loop), entries(std::move(entries)), mix(std::move(mix)), random(seed)
{
}

OnlineFigures OnlineLoad::run(std::chrono::milliseconds time)
{
    this->begin = SteadyClock::now();
    this->end = this->begin + time;
    this->open = 1;
    this->scheduleCompletion();
    if (this->mix.lookupsPerSecond > 0) {
        this->scheduleLookup();
    }
    this->loop.schedule(time, [this] {
        this->finishOne();
    });
    this->loop.run();
    return std::exchange(this->figures, {});
}

double OnlineLoad::rateNow() const
{
    const auto passed = SteadyClock::now() - this->begin;
    const bool isBurst = passed % this->mix.burstEvery < this->mix.burstLength;
    return isBurst ? this->mix.burstRequestsPerSecond : this->mix.requestsPerSecond;
}

void OnlineLoad::scheduleCompletion()
{
    this->loop.schedule(pauseFor(this->rateNow(), this->random), [this] {
        if (SteadyClock::now() < this->end) {
            this->complete();
            this->scheduleCompletion();
        }
    });
}

void OnlineLoad::scheduleLookup()
{
    this->loop.schedule(pauseFor(this->mix.lookupsPerSecond, this->random), [this] {
        if (SteadyClock::now() < this->end) {
            this->lookUp();
            this->scheduleLookup();
        }
    });
}

const Address &OnlineLoad::entry()
{
    return this->entries[this->random() % this->entries.size()];
}

std::string OnlineLoad::prompt()
{
    std::string text(this->mix.promptBytes / 2, 'p');
    text += " request " + std::to_string(++this->sent) + ' ';
    text.resize(std::max(text.size(), this->mix.promptBytes), static_cast<char>('a' + this->sent % 26));
    return text;
}

void OnlineLoad::finishOne()
{
    if (--this->open == 0) {
        this->loop.stop();
    }
}

void OnlineLoad::complete()
{
    ++this->open;
    const auto stream = std::make_shared<Stream>();
    stream->sent = SteadyClock::now();
    const nlohmann::json body{
        {"model", this->mix.model}, {"prompt", this->prompt()}, {"max_tokens", this->mix.tokens}, {"stream", true}};
    HttpRequest request{
        .method = "POST", .path = "/v1/completions", .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
    const auto onData = [this, stream](std::string_view data) {
        for (const std::string &event : stream->events.feed(data)) {
            if (event == "[DONE]") {
                continue;
            }
            const auto now = SteadyClock::now();
            if (stream->tokens++ == 0) {
                this->figures.firstToken.add(now - stream->sent);
            } else {
                this->figures.betweenTokens.add(now - stream->last);
            }
            stream->last = now;
            ++this->figures.tokens;
        }
    };
    const auto onEnd = [this, stream](ExchangeEnd end) {
        if (end == ExchangeEnd::Complete && stream->status == statusOk && stream->tokens >= this->mix.tokens) {
            this->figures.total.add(SteadyClock::now() - stream->sent);
        } else {
            ++this->figures.failed;
        }
        this->finishOne();
    };
    this->client.start(this->entry(),
                       request,
                       ConnectionChoice::Pooled,
                       {.onHeaders =
                            [stream](int status, const HttpHeaders &) {
                                stream->status = status;
                            },
                        .onData = onData,
                        .onEnd = onEnd});
}

void OnlineLoad::lookUp()
{
    ++this->open;
    const auto sent = SteadyClock::now();
    this->client.fetch(this->entry(),
                       {.method = "GET", .path = "/v1/services/" + this->mix.service + "/lookup"},
                       lookupTimeout,
                       [this, sent](ExchangeEnd end, const HttpResponse &response) {
                           if (end == ExchangeEnd::Complete && response.status == statusOk) {
                               this->figures.lookup.add(SteadyClock::now() - sent);
                           } else {
                               ++this->figures.failed;
                           }
                           this->finishOne();
                       });
}

} // namespace Dogwoodkeel
