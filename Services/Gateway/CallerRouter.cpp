#include <Services/Gateway/CallerRouter.h>

#include <LibBase/Log.h>
#include <LibDispatch/RetrySchedule.h>
#include <LibProxy/HttpStatus.h>
#include <Services/Gateway/OnlineCall.h>
#include <platform/JobFormat.h>
#include <platform/RequestFormat.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace Dogwoodkeel
{

namespace
{

/** Timeout of a caller that states none. */
constexpr std::chrono::milliseconds defaultTimeout{900};
/** A peer sends its configuration within some tens of milliseconds; if none arrives by then, another node serves the caller
 * sooner. */
constexpr std::chrono::milliseconds maxHoldTime{300};
constexpr std::chrono::milliseconds holdCheckInterval{20};
/** Bounds the memory used while many callers send unknown keys. */
constexpr std::size_t maxHeldRequests = 500;
/** Sent with a refusal by a node whose configuration is outdated: the next node that the caller tries most likely has a newer
 * one. */
constexpr std::chrono::milliseconds outdatedRetryAfter{50};

/**
 * Returns the delay after which a caller retries during an outage. It cannot be known when the platform answers again. Callers
 * retry once or twice; one that retried early would find the outage unchanged with most of its time unused, so it is given the
 * longest delay that it accepts.
 */
std::chrono::milliseconds retryAfterOutage(const RequestTraits &traits)
{
    return traits.timeout.value_or(defaultTimeout) / retryAfterDivisor;
}

/** @return the header with the challenge of an answer that requires a key (RFC 6750, section 3). */
HeaderList challenge(AccessOutcome outcome)
{
    std::string text = "Bearer realm=\"dogwoodkeel\"";
    if (outcome == AccessOutcome::UnknownKey) {
        text += ", error=\"invalid_token\"";
    } else if (outcome == AccessOutcome::MalformedKey) {
        text += ", error=\"invalid_request\"";
    }
    HeaderList headers;
    headers.add("WWW-Authenticate", text);
    return headers;
}

bool isJobCall(const CallerExchange &exchange)
{
    return !std::holds_alternative<std::monostate>(decodeJobCall(exchange.head()));
}

} // namespace

CallerRouter::CallerRouter(GatewayContext &context, ConfigurationFollower &configuration, JobApi &jobs)
    : context(context), configuration(configuration), jobs(jobs)
{
}

CallerRouter::~CallerRouter()
{
    this->context.loop.cancel(this->timer);
}

void CallerRouter::handle(const std::shared_ptr<CallerExchange> &exchange)
{
    this->process({exchange, credentialsOf(exchange->head().headers), this->context.clock.now() + maxHoldTime});
}

void CallerRouter::process(const HeldRequest &request)
{
    if (this->configuration.isOutdated()) {
        this->refuseTemporarily(*request.exchange, outdatedRetryAfter, "this node's configuration is outdated");
        return;
    }
    const Access access = this->decide(*request.exchange, request.credentials);
    if (access.outcome == AccessOutcome::Granted) {
        this->route(request.exchange, access);
    } else if (!access.mayChange() || !this->configuration.isBehind()) {
        this->refuse(*request.exchange, access);
    } else if (this->heldRequests.size() < maxHeldRequests) {
        this->hold(request);
    } else {
        this->refuseTemporarily(*request.exchange, outdatedRetryAfter, "this node's configuration is behind");
    }
}

Access CallerRouter::decide(const CallerExchange &exchange, const Credentials &credentials) const
{
    const ServingConfiguration *const current = this->configuration.current().get();
    if (isJobCall(exchange)) {
        return decideJobAccess(current, credentials);
    }
    const MessageHead &head = exchange.head();
    return decideAccess(current, head.headers.find("Host").value_or(std::string_view()), pathOf(head.target), credentials);
}

bool CallerRouter::endIfStopping(CallerExchange &exchange)
{
    const std::chrono::milliseconds timeout = decodeTraits(exchange.head().headers).timeout.value_or(JobApi::defaultTimeout);
    if (this->context.plannedStop.mayServe(this->context.clock.now() + timeout)) {
        return false;
    }
    this->refuseTemporarily(exchange, PlannedStop::retryAfter, PlannedStop::refusalReason);
    return true;
}

void CallerRouter::route(const std::shared_ptr<CallerExchange> &exchange, const Access &access)
{
    const bool isOnline = access.route != nullptr && access.route->kind != RouteKind::Batch;
    if (!isOnline && this->endIfStopping(*exchange)) {
        return;
    }
    if (access.route == nullptr) {
        this->jobs.answer(decodeJobCall(exchange->head()), access.workspace, exchange);
    } else if (access.route->kind == RouteKind::Batch) {
        this->jobs.submit(*access.route, access.workspace, exchange);
    } else {
        std::make_shared<OnlineCall>(this->context, this->configuration.current(), access, exchange)->start();
    }
}

void CallerRouter::hold(const HeldRequest &request)
{
    log(LogLevel::Info,
        "request waits for a newer configuration",
        {{"request", decodeTraits(request.exchange->head().headers).id},
         {"configuration", static_cast<std::int64_t>(this->configuration.version())}});
    this->heldRequests.push_back(request);
    this->configuration.catchUp();
    if (this->timer == 0) {
        this->expireHeld();
    }
}

void CallerRouter::retryHeld()
{
    for (const HeldRequest &request : std::exchange(this->heldRequests, {})) {
        if (!request.exchange->isOver()) {
            this->process(request);
        }
    }
}

void CallerRouter::expireHeld()
{
    const SteadyTime now = this->context.clock.now();
    std::vector<HeldRequest> expired;
    std::erase_if(this->heldRequests, [&expired, now](const HeldRequest &request) {
        const bool isExpired = now >= request.until || request.exchange->isOver();
        if (isExpired) {
            expired.push_back(request);
        }
        return isExpired;
    });
    for (const HeldRequest &request : expired) {
        this->refuseTemporarily(*request.exchange, outdatedRetryAfter, "this node's configuration is behind");
    }
    this->timer = this->heldRequests.empty() ? 0 : this->context.loop.schedule(holdCheckInterval, [this] {
        this->expireHeld();
    });
}

void CallerRouter::refuse(CallerExchange &exchange, const Access &access)
{
    if (access.outcome == AccessOutcome::NoConfiguration) {
        this->refuseTemporarily(exchange, retryAfterOutage(decodeTraits(exchange.head().headers)), nameOf(access.outcome));
    } else if (access.outcome == AccessOutcome::NoRoute) {
        this->reject(exchange, statusNotFound, {}, nameOf(access.outcome));
    } else {
        this->reject(exchange, statusUnauthorized, challenge(access.outcome), nameOf(access.outcome));
    }
}

void CallerRouter::refuseTemporarily(CallerExchange &exchange, std::chrono::milliseconds retryAfter, std::string_view reason)
{
    this->reject(exchange, statusUnavailable, retryHeaders(retryAfter), reason);
}

void CallerRouter::reject(CallerExchange &exchange, int status, const HeaderList &headers, std::string_view reason)
{
    const MessageHead &head = exchange.head();
    log(LogLevel::Info,
        "request rejected",
        {{"request", decodeTraits(head.headers).id},
         {"host", std::string(head.headers.find("Host").value_or(std::string_view()))},
         {"target", head.target},
         {"configuration", static_cast<std::int64_t>(this->configuration.version())},
         {"status", status},
         {"reason", std::string(reason)}});
    this->context.metrics.countRequest("", status, std::chrono::nanoseconds(0));
    this->context.metrics.countEvent("request rejected: " + std::string(reason));
    exchange.send(status, headers, {});
}

} // namespace Dogwoodkeel
