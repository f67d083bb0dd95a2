#include <Services/Entry/PlainCall.h>

#include <LibRouting/ReplicaChoice.h>
#include <Services/Entry/ApiErrors.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusUnavailable = 503;
constexpr std::chrono::seconds comeBack{1};

} // namespace

PlainCall::PlainCall(EntryContext &context, const ServiceSettings &service, HttpRequest request, std::shared_ptr<HttpReply> reply)
    : context(context)
    , service(service)
    , request(std::move(request))
    , reply(std::move(reply))
    , started(context.clock.now())
    , deadline(this->started + service.timeout)
{
}

void PlainCall::start()
{
    this->dispatch();
}

void PlainCall::dispatch()
{
    const ChoiceWish wish{FailureDomain(this->context.settings->node.failureDomain), this->tried, this->failedDomain};
    Replica *const chosen = chooseReplica(this->context.replicas.of(this->service.name), wish, this->context.random);
    const bool isExhausted = this->tried.size() >= static_cast<std::size_t>(this->context.settings->entry.attempts);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(this->deadline - this->context.clock.now());
    if (chosen == nullptr || isExhausted || left.count() <= 0) {
        const RunState run = this->mayHaveRun ? RunState::Unknown : RunState::NotRun;
        this->context.metrics.countAnswer("lookup", "no_endpoint");
        this->reply->send(
            refusalResponse({statusUnavailable, "no_endpoint", "no endpoint can serve the request now", run, comeBack}));
        return;
    }
    ++chosen->inFlight;
    this->tried.push_back(chosen->name);
    this->context.http.fetch(chosen->address,
                             this->request,
                             left,
                             [self = this->shared_from_this(), chosen](ExchangeEnd end, const HttpResponse &response) {
                                 self->onEnd(*chosen, end, response);
                             });
}

void PlainCall::onEnd(Replica &replica, ExchangeEnd end, const HttpResponse &response)
{
    --replica.inFlight;
    const bool hasAnswer = end == ExchangeEnd::Complete && response.status != statusUnavailable;
    replica.failuresInARow = hasAnswer ? 0 : replica.failuresInARow + 1;
    if (!hasAnswer) {
        this->failedDomain = replica.failureDomain;
        this->mayHaveRun = this->mayHaveRun || end == ExchangeEnd::Broken;
        this->context.metrics.countRetry(end == ExchangeEnd::Complete ? "refused" : "lost");
        this->dispatch();
        return;
    }
    HttpResponse passed{response.status, {}, response.body};
    passed.headers["Content-Type"] = headerValue(response.headers, "Content-Type").value_or("application/octet-stream");
    this->context.metrics.countAnswer("lookup", std::to_string(response.status));
    this->context.metrics.observeTotal(
        "lookup", std::chrono::duration_cast<std::chrono::microseconds>(this->context.clock.now() - this->started));
    this->reply->send(passed);
}

} // namespace Dogwoodkeel
