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

/** Of a caller that does not say how long it waits. */
constexpr std::chrono::milliseconds defaultTimeout{900};
/** A peer sends its configuration in some tens of milliseconds; without one by then, another node serves the caller sooner. */
constexpr std::chrono::milliseconds longestHeld{300};
constexpr std::chrono::milliseconds heldLook{20};
/** Bounds memory while many callers come with keys that nobody knows. */
constexpr std::size_t mostHeld = 500;
/** Told to who is refused by a node that is behind: the next node that it tries is most likely not. */
constexpr std::chrono::milliseconds behindRetryAfter{50};

/**
 * When the platform answers again can't be known. Callers come back once or twice: who returns soon finds the same, with most of
 * its time unused, so it is told the longest that it would wait.
 */
std::chrono::milliseconds retryAfterOutage(const RequestTraits &traits)
{
    return traits.timeout.value_or(defaultTimeout) / retryAfterDivisor;
}

/** @return the challenge of an answer that asks for a key (RFC 6750, section 3). */
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
    this->consider({exchange, credentialsOf(exchange->head().headers), this->context.clock.now() + longestHeld});
}

void CallerRouter::consider(const Held &request)
{
    const Access access = this->decide(*request.exchange, request.credentials);
    if (access.outcome == AccessOutcome::Granted) {
        this->route(request.exchange, access);
    } else if (!access.mayChange() || !this->configuration.isBehind()) {
        this->refuse(*request.exchange, access);
    } else if (this->held.size() < mostHeld) {
        this->hold(request);
    } else {
        this->refuseUnknown(*request.exchange, behindRetryAfter, "this node's configuration is behind");
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

void CallerRouter::route(const std::shared_ptr<CallerExchange> &exchange, const Access &access)
{
    if (access.route == nullptr) {
        this->jobs.answer(decodeJobCall(exchange->head()), access.workspace, exchange);
    } else if (access.route->kind == RouteKind::Batch) {
        this->jobs.submit(*access.route, access.workspace, exchange);
    } else {
        std::make_shared<OnlineCall>(this->context, this->configuration.current(), access, exchange)->start();
    }
}

void CallerRouter::hold(const Held &request)
{
    log(LogLevel::Info,
        "request waits for a newer configuration",
        {{"request", decodeTraits(request.exchange->head().headers).id},
         {"configuration", static_cast<std::int64_t>(this->configuration.version())}});
    this->held.push_back(request);
    this->configuration.catchUp();
    if (this->timer == 0) {
        this->look();
    }
}

void CallerRouter::retryHeld()
{
    for (const Held &request : std::exchange(this->held, {})) {
        if (!request.exchange->isOver()) {
            this->consider(request);
        }
    }
}

void CallerRouter::look()
{
    const SteadyTime now = this->context.clock.now();
    std::vector<Held> over;
    std::erase_if(this->held, [&over, now](const Held &request) {
        const bool isOver = now >= request.until || request.exchange->isOver();
        if (isOver) {
            over.push_back(request);
        }
        return isOver;
    });
    for (const Held &request : over) {
        this->refuseUnknown(*request.exchange, behindRetryAfter, "this node's configuration is behind");
    }
    this->timer = this->held.empty() ? 0 : this->context.loop.schedule(heldLook, [this] {
        this->look();
    });
}

void CallerRouter::refuse(CallerExchange &exchange, const Access &access)
{
    if (access.outcome == AccessOutcome::NoConfiguration) {
        this->refuseUnknown(exchange, retryAfterOutage(decodeTraits(exchange.head().headers)), nameOf(access.outcome));
    } else if (access.outcome == AccessOutcome::NoRoute) {
        this->reject(exchange, statusNotFound, {}, nameOf(access.outcome));
    } else {
        this->reject(exchange, statusUnauthorized, challenge(access.outcome), nameOf(access.outcome));
    }
}

void CallerRouter::refuseUnknown(CallerExchange &exchange, std::chrono::milliseconds retryAfter, std::string_view reason)
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
