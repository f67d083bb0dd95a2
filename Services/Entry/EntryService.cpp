#include <Services/Entry/EntryService.h>

#include <LibBase/Encoding.h>
#include <LibBase/Hash.h>
#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/OnlineRequest.h>
#include <Services/Entry/PlainCall.h>
#include <Services/Entry/PromptPrefix.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusNoContent = 204;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr std::size_t randomIdBytes = 12;
constexpr std::size_t maxKeyBytes = 256;
constexpr std::chrono::milliseconds resultTimeout{10000};
constexpr std::chrono::seconds retryAfter{1};

constexpr std::string_view badDeadline = "Dogwoodkeel-Deadline-Ms must be a whole number of milliseconds above 0";
constexpr std::string_view servicesPath = "/v1/services/";
constexpr std::string_view resultsPath = "/v1/results/";
constexpr std::string_view configurationPath = "/v1/config";
/** A configuration may have 64 MiB; its JSON encoding is larger. */
constexpr std::uint64_t maxConfigurationBytes = 134217728;
constexpr std::string_view statusPath = "/v1/status";
constexpr std::string_view batchesPath = "/v1/batches";
constexpr std::string_view filesPath = "/v1/files";
constexpr std::string_view allowedMethods = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

bool isHeadOrGet(const HttpRequest &request)
{
    return request.method == "GET" || request.method == "HEAD";
}

/** @return whether the body may hold items, as JSON lines. */
bool mayHoldItems(const HttpRequest &head)
{
    return head.method == "POST" && (head.path == filesPath || head.path == batchesPath);
}

void refuse(HttpReply &reply, int status, std::string_view reason, std::string message)
{
    reply.send(refusalResponse({status, reason, std::move(message), RunState::NotRun, {}}));
}

/**
 * @param maxTimeout upper limit of the header, and the timeout without it
 * @return how long the caller waits for its answer, or nothing if the header is not a positive whole number
 */
std::optional<std::chrono::milliseconds> timeoutOf(const HttpRequest &request, std::chrono::milliseconds maxTimeout)
{
    const auto header = headerValue(request.headers, "Dogwoodkeel-Deadline-Ms");
    if (!header) {
        return maxTimeout;
    }
    std::int64_t count = 0;
    const char *const end = header->data() + header->size();
    const auto [remainder, error] = std::from_chars(header->data(), end, count);
    if (error != std::errc() || remainder != end || count <= 0) {
        return std::nullopt;
    }
    return std::min(std::chrono::milliseconds(count), maxTimeout);
}

/** @return the request id prefixed with the tenant, so that a caller cannot read another tenant's results. */
std::string scopedId(const Caller &caller, std::string_view id)
{
    return caller.tenant.value() + '/' + std::string(id);
}

} // namespace

EntryService::EntryService(EntryContext &context)
    : context(context)
    , authenticator(context.settings->tenants)
    , batches(context)
    , entries(context)
    , view(std::make_shared<MemberView>(std::vector<Member>()))
{
}

void EntryService::setView(MemberViewPointer view)
{
    this->view = std::move(view);
}

void EntryService::settingsChanged()
{
    this->authenticator = Authenticator(this->context.settings->tenants);
}

void EntryService::setWaitingFor(std::string waitingFor)
{
    this->waitingFor = std::move(waitingFor);
}

BodyAdmission EntryService::admit(const HttpRequest &head)
{
    // A configuration holds all tenants and endpoints, and may exceed the size limit of an online request on a large site.
    // The larger limit applies only to callers with an operator's key.
    const bool isConfiguration = head.path.starts_with(configurationPath);
    const std::optional<Caller> caller = isConfiguration ? this->authenticator.authenticate(head.headers) : std::nullopt;
    if (caller && caller->isOperator) {
        return {maxConfigurationBytes, {}};
    }
    if (!mayHoldItems(head)) {
        return {static_cast<std::uint64_t>(this->context.settings->entry.bodyBytes), {}};
    }
    return {static_cast<std::uint64_t>(this->context.settings->entry.jobBytes),
            [this](const HttpRequest &admitted, const Reply &reply) {
                return this->receiveItems(admitted, reply);
            }};
}

BodyHooks EntryService::receiveItems(const HttpRequest &head, const Reply &reply)
{
    const std::optional<Caller> caller = this->authenticator.authenticate(head.headers);
    if (!caller) {
        refuse(*reply, statusUnauthorized, "unknown_key", "send a known key as Authorization: Bearer KEY");
        return {};
    }
    if (headerValue(head.headers, "Idempotency-Key").value_or(std::string()).size() > maxKeyBytes) {
        refuse(*reply, statusBadRequest, "bad_key", "the Idempotency-Key is too long");
        return {};
    }
    return head.path == filesPath ? this->batches.uploadFile(*caller, reply) : this->batches.submit(*caller, head, reply);
}

void EntryService::serve(const HttpRequest &request, const Reply &reply)
{
    if (request.method == "OPTIONS" && !request.path.starts_with(servicesPath)) {
        reply->send({statusNoContent, {{"Allow", std::string(allowedMethods)}}, {}});
        return;
    }
    if (this->servePublic(request, reply)) {
        return;
    }
    if (!this->waitingFor.empty()) {
        // Without the member list the node cannot find the owner of a request, and every caller would wait for its timeout.
        reply->send(refusalResponse(
            {statusUnavailable, "starting", "this node waits for " + this->waitingFor, RunState::NotRun, retryAfter}));
        return;
    }
    const std::optional<Caller> caller = this->authenticator.authenticate(request.headers);
    if (!caller) {
        refuse(*reply, statusUnauthorized, "unknown_key", "send a known key as Authorization: Bearer KEY");
        return;
    }
    const bool isPost = request.method == "POST";
    if (isPost && request.path == "/v1/chat/completions") {
        this->serveCompletion(*caller, CompletionForm::Chat, request, reply);
    } else if (isPost && request.path == "/v1/completions") {
        this->serveCompletion(*caller, CompletionForm::Text, request, reply);
    } else if (request.path.starts_with(servicesPath)) {
        this->serveService(*caller, request, reply);
    } else if (request.path.starts_with(configurationPath) || request.path == statusPath) {
        this->serveOperator(*caller, request, reply);
    } else if (isHeadOrGet(request) && request.path.starts_with(resultsPath)) {
        this->serveResult(*caller, std::string_view(request.path).substr(resultsPath.size()), reply);
    } else if (!this->serveBatch(*caller, request, reply)) {
        refuse(*reply, statusNotFound, "no_such_path", request.method + " " + request.path + " is not served");
    }
}

bool EntryService::servePublic(const HttpRequest &request, const Reply &reply)
{
    if (!isHeadOrGet(request)) {
        return false;
    }
    if (request.path == "/healthz") {
        reply->send(jsonResponse(statusOk, "{\"status\":\"up\"}\n"));
    } else if (request.path == "/readyz") {
        reply->send(this->waitingFor.empty() ? jsonResponse(statusOk, "{\"status\":\"ready\"}\n")
                                             : notReadyResponse(this->waitingFor));
    } else if (request.path == "/metrics") {
        reply->send({statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, this->context.metrics.text()});
    } else if (request.path == "/v1/entries") {
        this->entries.serve(*this->view, request, *reply);
    } else {
        return false;
    }
    return true;
}

bool EntryService::serveBatch(const Caller &caller, const HttpRequest &request, const Reply &reply)
{
    if (!request.path.starts_with(batchesPath)) {
        return false;
    }
    const std::string_view remainder = std::string_view(request.path).substr(batchesPath.size());
    if (remainder.empty() && isHeadOrGet(request)) {
        this->batches.list(caller, request.query, reply);
        return true;
    }
    if (!remainder.starts_with('/')) {
        return false;
    }
    const std::size_t slash = std::min(remainder.find('/', 1), remainder.size());
    const JobId job(std::string(remainder.substr(1, slash - 1)));
    const std::string_view action = remainder.substr(slash);
    if (action.empty() && request.method == "GET") {
        this->batches.status(caller, job, reply);
    } else if (action == "/results" && request.method == "GET") {
        this->batches.results(caller, job, request.query, reply);
    } else if (action == "/cancel" && request.method == "POST") {
        this->batches.cancel(caller, job, reply);
    } else {
        return false;
    }
    return true;
}

LimitSharing::Hold EntryService::admit(const Caller &caller, LimitClass kind, const HttpRequest &request, const Reply &reply)
{
    LimitSharing::Admitted admitted = this->context.limits.admit(caller.tenant, kind);
    if (!admitted.hold) {
        // A request with an id set by the caller may have run when it was sent before.
        const RunState run = request.headers.contains("Idempotency-Key") ? RunState::Unknown : RunState::NotRun;
        const auto seconds = std::max(retryAfter, std::chrono::ceil<std::chrono::seconds>(admitted.retryAfter));
        this->context.metrics.countAnswer(kind == LimitClass::Lookup ? "lookup" : "online", "tenant_limit");
        reply->send(
            refusalResponse({statusTooManyRequests, "tenant_limit", "the tenant is at its limit of requests", run, seconds}));
    }
    return admitted.hold;
}

RequestId EntryService::requestIdOf(const Caller &caller, const HttpRequest &request)
{
    const auto key = headerValue(request.headers, "Idempotency-Key");
    return RequestId(scopedId(caller, key ? *key : "r-" + randomHex(randomIdBytes)));
}

void EntryService::serveCompletion(const Caller &caller, CompletionForm form, const HttpRequest &request, const Reply &reply)
{
    auto completion = CompletionRequest::parse(form, request.body);
    if (!completion) {
        refuse(*reply, statusBadRequest, "bad_request", "the body must be a JSON object with a model and a prompt or messages");
        return;
    }
    if (headerValue(request.headers, "Idempotency-Key").value_or(std::string()).size() > maxKeyBytes) {
        refuse(*reply, statusBadRequest, "bad_key", "the Idempotency-Key is too long");
        return;
    }
    if (this->context.replicas.of(completion->model).empty()) {
        refuse(*reply, statusNotFound, "no_such_model", "no endpoint serves the model " + completion->model);
        return;
    }
    const auto timeout = timeoutOf(request, this->context.settings->entry.requestTimeout);
    if (!timeout) {
        refuse(*reply, statusBadRequest, "bad_deadline", std::string(badDeadline));
        return;
    }
    auto hold = this->admit(caller, LimitClass::Online, request, reply);
    if (!hold) {
        return;
    }
    DurableRequest durable;
    durable.id = this->requestIdOf(caller, request);
    durable.tenant = caller.tenant;
    durable.fingerprint = stableHash(request.path + '\n' + request.body);
    durable.isNonIdempotent = headerValue(request.headers, "Dogwoodkeel-Idempotent") == "false";
    durable.request = {.method = "POST", .path = request.path, .headers = {{"Content-Type", "application/json"}}};
    durable.serves = completion->model;
    durable.isNamedByCaller = request.headers.contains("Idempotency-Key");
    durable.content = contentFingerprint(completion->model, request.body);
    durable.timeout = *timeout;
    durable.prefix = promptPrefix(*completion, static_cast<std::size_t>(this->context.settings->fleet.prefixBytes));
    durable.hold = std::move(hold);
    durable.completion = std::move(completion);
    std::make_shared<OnlineRequest>(this->context, std::move(durable), reply)->start();
}

void EntryService::serveService(const Caller &caller, const HttpRequest &request, const Reply &reply)
{
    const std::string_view remainder = std::string_view(request.path).substr(servicesPath.size());
    const std::size_t slash = std::min(remainder.find('/'), remainder.size());
    const std::string name(remainder.substr(0, slash));
    const auto &services = this->context.settings->services;
    const auto service = std::ranges::find(services, name, &ServiceSettings::name);
    if (service == services.end()) {
        refuse(*reply, statusNotFound, "no_such_service", "there is no service " + name);
        return;
    }
    const auto timeout = timeoutOf(request, service->timeout);
    if (!timeout) {
        refuse(*reply, statusBadRequest, "bad_deadline", std::string(badDeadline));
        return;
    }
    HttpRequest forwarded;
    forwarded.method = request.method;
    forwarded.path = slash < remainder.size() ? std::string(remainder.substr(slash)) : "/";
    forwarded.query = request.query;
    forwarded.body = request.body;
    forwarded.headers["Content-Type"] = headerValue(request.headers, "Content-Type").value_or("application/json");
    const bool isMarkedNonIdempotent = headerValue(request.headers, "Dogwoodkeel-Idempotent") == "false";
    const bool isNonIdempotent = !service->isIdempotent || isMarkedNonIdempotent;
    const bool isLookup = !isNonIdempotent && !request.headers.contains("Idempotency-Key");
    auto hold = this->admit(caller, isLookup ? LimitClass::Lookup : LimitClass::Online, request, reply);
    if (!hold) {
        return;
    }
    if (isLookup) {
        std::make_shared<PlainCall>(
            this->context, *service, caller.tenant, std::move(forwarded), *timeout, reply, std::move(hold))
            ->start();
        return;
    }
    DurableRequest durable;
    durable.id = this->requestIdOf(caller, request);
    durable.tenant = caller.tenant;
    durable.fingerprint = stableHash(request.method + ' ' + request.path + '?' + request.query + '\n' + forwarded.body);
    durable.isNamedByCaller = request.headers.contains("Idempotency-Key");
    durable.content = contentFingerprint(name, forwarded.method + ' ' + forwarded.target() + '\n' + forwarded.body);
    durable.isNonIdempotent = isNonIdempotent;
    durable.request = std::move(forwarded);
    durable.serves = name;
    durable.hold = std::move(hold);
    durable.timeout = *timeout;
    std::make_shared<OnlineRequest>(this->context, std::move(durable), reply)->start();
}

void EntryService::serveOperator(const Caller &caller, const HttpRequest &request, const Reply &reply)
{
    if (!caller.isOperator) {
        refuse(*reply, statusForbidden, "no_operator", "this takes an operator's key");
        return;
    }
    this->context.operators({request, caller.tenant.value()}, [reply](const HttpResponse &response) {
        reply->send(response);
    });
}

void EntryService::serveResult(const Caller &caller, std::string_view id, const Reply &reply)
{
    // Ids in answers already have the tenant prefix; ids set by callers do not.
    const std::string prefix = caller.tenant.value() + '/';
    const RequestId request(id.starts_with(prefix) ? std::string(id) : prefix + std::string(id));
    this->context.owners.call<ResultRequest>(
        request.value(),
        {request},
        std::chrono::milliseconds(0),
        this->context.clock.now() + resultTimeout,
        [](const ResultResponse &response) {
            return response.state != RequestState::NotOwner;
        },
        [reply, request](const std::optional<ResultResponse> &response) {
            if (!response) {
                reply->send(refusalResponse(
                    {statusUnavailable, "no_owner", "no node can answer for this id now", RunState::Unknown, retryAfter}));
                return;
            }
            switch (response->state) {
            case RequestState::Done:
                reply->send({response->answer.status, {{"Content-Type", response->answer.contentType}}, response->answer.body});
                return;
            case RequestState::Running:
                reply->send(jsonResponse(statusAccepted, "{\"status\":\"running\"}\n"));
                return;
            case RequestState::OutcomeUnknown:
                reply->send(refusalResponse(
                    {statusConflict, "outcome_unknown", "it may have run once, and will not run again", RunState::Unknown, {}}));
                return;
            default:
                refuse(*reply, statusNotFound, "no_such_id", "nothing is known of this id");
            }
        });
}

} // namespace Dogwoodkeel
