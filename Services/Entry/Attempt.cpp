#include <Services/Entry/Attempt.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

Attempt::Attempt(EventLoop &loop, const Clock &clock, HttpClient &http, ProgressLimits limits)
    : loop(loop), clock(clock), http(http), limits(limits)
{
}

Attempt::~Attempt()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
    this->http.cancel(this->exchange);
}

void Attempt::start(const Address &address, const HttpRequest &request, ConnectionChoice choice, Hooks hooks)
{
    this->address = address;
    this->hooks = std::move(hooks);
    const auto ifAlive = [alive = this->alive](auto &&action) {
        if (*alive) {
            action();
        }
    };
    ExchangeHooks exchangeHooks{
        .onHeaders =
            [this, ifAlive](int status, const HttpHeaders &headers) {
                ifAlive([&] {
                    this->progress();
                    this->hooks.onHeaders(status, headers);
                });
            },
        .onData =
            [this, ifAlive](std::string_view data) {
                ifAlive([&] {
                    this->progress();
                    this->hooks.onData(data);
                });
            },
        .onEnd =
            [this, ifAlive](ExchangeEnd how) {
                ifAlive([&] {
                    switch (how) {
                    case ExchangeEnd::Complete:
                        this->end(AttemptEnd::Complete);
                        return;
                    case ExchangeEnd::NotConnected:
                        this->end(AttemptEnd::NotConnected);
                        return;
                    case ExchangeEnd::Incomplete:
                        this->end(AttemptEnd::ConnectionLost);
                        return;
                    }
                });
            },
    };
    this->exchange = this->http.start(address, request, choice, std::move(exchangeHooks));
    this->lastProgress = this->clock.now();
    this->isConnected = this->http.isReused(this->exchange);
    this->scheduleCheck(this->limit());
}

void Attempt::progress()
{
    this->isConnected = true;
    this->hasBytes = true;
    this->lastProgress = this->clock.now();
}

std::chrono::milliseconds Attempt::limit() const
{
    if (!this->isConnected) {
        return this->limits.connect;
    }
    if (this->hasBytes) {
        return this->limits.between;
    }
    // An idle connection may have become unresponsive unnoticed. Waiting the full time to the first byte could exceed
    // the caller's deadline, so a reused connection gets the shorter limit; the next attempt gets the full time.
    const bool isReused = this->http.isReused(this->exchange);
    return isReused ? std::min(this->limits.firstByte, this->limits.between) : this->limits.firstByte;
}

void Attempt::scheduleCheck(std::chrono::milliseconds wait)
{
    this->timer = this->loop.schedule(wait, [this] {
        this->check();
    });
}

void Attempt::check()
{
    // One timer serves the whole attempt: rescheduling it for each token would cost more than handling the token.
    if (!this->isConnected && this->http.isConnected(this->exchange)) {
        this->isConnected = true;
    }
    const auto elapsed = this->clock.now() - this->lastProgress;
    const auto remainingTime = std::chrono::ceil<std::chrono::milliseconds>(this->limit() - elapsed);
    if (remainingTime.count() > 0) {
        this->scheduleCheck(remainingTime);
        return;
    }
    this->endUnresponsive();
}

void Attempt::endUnresponsive()
{
    if (!this->isConnected) {
        this->end(AttemptEnd::NotConnected);
        return;
    }
    const bool isReused = this->http.isReused(this->exchange);
    // A network device on the path may have dropped its state of connections of this age without notice, and each of
    // them would time out another request. New connections are not affected.
    this->http.closeIdle(this->address);
    this->end(isReused ? AttemptEnd::UnresponsiveReused : AttemptEnd::UnresponsiveFresh);
}

void Attempt::end(AttemptEnd how)
{
    *this->alive = false;
    this->loop.cancel(std::exchange(this->timer, 0));
    this->http.cancel(this->exchange);
    const auto reported = std::move(this->hooks.onEnd);
    reported(how);
}

} // namespace Dogwoodkeel
