#include <Benchmarks/Support/OpenLoad.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

using Clock = std::chrono::steady_clock;

/** How long after the deadline a caller still waits: an answer in that time counts as late, and a later one as lost. */
constexpr std::chrono::seconds timeout{5};

struct Call
{
    std::uint64_t number = 0;
    Clock::time_point sent;
    Clock::time_point lastProgress;
    RequestOutcome outcome;
    std::string body;
    TimerId timer = 0;

    void recordProgress()
    {
        const Clock::time_point now = Clock::now();
        this->outcome.longestGap = std::max<std::chrono::nanoseconds>(this->outcome.longestGap, now - this->lastProgress);
        this->lastProgress = now;
    }
};

} // namespace

OpenLoad::OpenLoad(EventLoop &loop, std::vector<Address> targets, Kind kind, std::uint64_t seed)
    : loop(loop), client(loop), targets(std::move(targets)), kind(std::move(kind)), random(seed)
{
}

void OpenLoad::start(std::chrono::milliseconds duration, std::function<void()> done)
{
    this->done = std::move(done);
    this->due = Clock::now();
    this->end = this->due + duration;
    this->isSending = true;
    this->next();
}

void OpenLoad::next()
{
    std::exponential_distribution<double> gap(this->kind.perSecond);
    while (this->due <= Clock::now() && this->due < this->end) {
        this->send();
        this->due += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(this->random)));
    }
    if (this->due >= this->end) {
        this->isSending = false;
        this->finishIfIdle();
        return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(this->due - Clock::now());
    this->loop.schedule(std::max(wait, std::chrono::milliseconds(0)), [this] {
        this->next();
    });
}

void OpenLoad::send()
{
    const auto call = std::make_shared<Call>();
    call->number = ++this->sent;
    call->sent = Clock::now();
    call->lastProgress = call->sent;
    ++this->open;
    HttpRequest request = this->kind.make(call->number);
    request.headers["Dogwoodkeel-Deadline-Ms"] = std::to_string(this->kind.deadline.count());
    const auto finish = [this, call] {
        this->loop.cancel(call->timer);
        call->recordProgress();
        call->outcome.total = Clock::now() - call->sent;
        this->results.push_back(call->outcome);
        --this->open;
        this->finishIfIdle();
    };
    ExchangeHooks hooks{
        .onHeaders =
            [call](int status, const HttpHeaders &headers) {
                call->recordProgress();
                call->outcome.status = status;
                call->outcome.hasRetryAfter = headers.contains("Retry-After");
            },
        .onData =
            [call](std::string_view data) {
                call->recordProgress();
                call->body.append(data);
            },
        .onEnd =
            [this, call, finish](ExchangeEnd end) {
                call->outcome.isWhole
                    = end == ExchangeEnd::Complete && call->outcome.status == 200 && this->kind.isWhole(call->number, call->body);
                finish();
            },
    };
    const Address &target = this->targets[call->number % this->targets.size()];
    const auto exchange = this->client.start(target, request, ConnectionChoice::Pooled, std::move(hooks));
    call->timer = this->loop.schedule(this->kind.deadline + timeout, [this, exchange, finish] {
        this->client.cancel(exchange);
        finish();
    });
}

void OpenLoad::finishIfIdle()
{
    if (!this->isSending && this->open == 0 && this->done) {
        this->loop.post(std::exchange(this->done, nullptr));
    }
}

const std::vector<RequestOutcome> &OpenLoad::outcomes() const
{
    return this->results;
}

} // namespace Dogwoodkeel
