#include <Benchmarks/Support/HistoryCaller.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds readTimeout{3000};
constexpr std::size_t recentIds = 12;
constexpr int statusOk = 200;
constexpr int statusRunning = 202;
constexpr int statusNotFound = 404;

std::string refusalField(const HttpResponse &response, const char *field)
{
    const Json body = Json::parse(response.body, nullptr, false);
    const bool hasError = body.is_object() && body.contains("error") && body["error"].is_object();
    return hasError ? body["error"].value(field, std::string()) : std::string();
}

std::string textOf(const HttpResponse &response, bool isCompletion)
{
    if (!isCompletion) {
        return response.body;
    }
    const Json body = Json::parse(response.body, nullptr, false);
    const bool hasChoice = body.is_object() && body.contains("choices") && !body["choices"].empty();
    return hasChoice ? body["choices"][0].value("text", std::string()) : response.body;
}

} // namespace

void SharedIds::add(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    this->ids.push_back(id);
}

std::optional<std::string> SharedIds::recent(std::uint64_t choice)
{
    const std::lock_guard lock(this->mutex);
    if (this->ids.empty()) {
        return std::nullopt;
    }
    return this->ids[this->ids.size() - 1 - choice % std::min(recentIds, this->ids.size())];
}

void SharedIds::retire(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    std::erase(this->ids, id);
}

std::vector<std::string> SharedIds::live()
{
    const std::lock_guard lock(this->mutex);
    return this->ids;
}

HistoryCaller::HistoryCaller(std::vector<Address> nodes, Time start) : nodes(std::move(nodes)), start(start)
{
}

std::string HistoryCaller::promptOf(const std::string &id)
{
    return "describe " + id;
}

std::string HistoryCaller::offerOf(const std::string &id)
{
    return R"({"offer":")" + id + R"("})";
}

const std::vector<HistoryCall> &HistoryCaller::calls() const
{
    return this->recorded;
}

HttpResponse HistoryCaller::send(std::size_t node, const HttpRequest &request, std::chrono::milliseconds timeout)
{
    HttpResponse answer;
    this->client.fetch(this->nodes[node], request, timeout, [this, &answer](ExchangeEnd end, const HttpResponse &response) {
        answer = end == ExchangeEnd::Complete ? response : HttpResponse();
        this->loop.stop();
    });
    this->loop.run();
    return answer;
}

CallOutcome HistoryCaller::outcomeOf(const HttpResponse &response)
{
    if (response.status == 0) {
        return CallOutcome::Lost;
    }
    if (response.status == statusOk) {
        return headerValue(response.headers, "Dogwoodkeel-Result") == "pending" ? CallOutcome::Pending : CallOutcome::Answered;
    }
    if (response.status == statusNotFound) {
        return CallOutcome::Absent;
    }
    if (refusalField(response, "run") == "not_run") {
        return CallOutcome::NotRun;
    }
    return refusalField(response, "reason") == "outcome_unknown" ? CallOutcome::OutcomeUnknown : CallOutcome::Refused;
}

CallOutcome HistoryCaller::record(CallKind kind,
                                  const std::string &id,
                                  std::size_t node,
                                  const HttpRequest &request,
                                  std::chrono::milliseconds timeout,
                                  bool isCompletion)
{
    const auto now = [this] {
        return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - this->start);
    };
    HistoryCall call{kind, id, CallOutcome::Lost, {}, now(), {}, node};
    const HttpResponse response = this->send(node, request, timeout);
    call.ended = now();
    call.outcome = outcomeOf(response);
    if (call.outcome == CallOutcome::Answered || call.outcome == CallOutcome::Pending) {
        call.text = textOf(response, isCompletion);
    } else if (call.outcome != CallOutcome::Lost) {
        call.text = refusalField(response, "reason");
    }
    if (kind == CallKind::JobSubmission && response.status == statusRunning) {
        call.outcome = CallOutcome::Answered;
        this->jobIds[id] = Json::parse(response.body, nullptr, false).value("id", std::string());
    }
    this->recorded.push_back(call);
    return call.outcome;
}

CallOutcome HistoryCaller::complete(const std::string &id, std::size_t node, std::chrono::milliseconds timeout)
{
    const Json body{{"model", "m"}, {"prompt", promptOf(id)}, {"max_tokens", tokens}};
    const HttpRequest request{.method = "POST",
                              .path = "/v1/completions",
                              .headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", id}},
                              .body = body.dump()};
    return this->record(CallKind::Completion, id, node, request, timeout, true);
}

CallOutcome HistoryCaller::issue(const std::string &id, std::size_t node, std::chrono::milliseconds timeout)
{
    const HttpRequest request{.method = "POST",
                              .path = "/v1/services/offers/issue",
                              .headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", id}},
                              .body = offerOf(id)};
    return this->record(CallKind::NonIdempotent, id, node, request, timeout, false);
}

CallOutcome
HistoryCaller::readResult(const std::string &id, bool isCompletion, std::size_t node, std::chrono::milliseconds timeout)
{
    const HttpRequest request{.method = "GET", .path = "/v1/results/" + id};
    return this->record(CallKind::ResultRead, id, node, request, timeout, isCompletion);
}

CallOutcome
HistoryCaller::submitJob(const std::string &id, std::uint32_t items, std::size_t node, std::chrono::milliseconds timeout)
{
    std::string lines;
    for (std::uint32_t i = 0; i < items; ++i) {
        const Json item{{"model", "m"}, {"prompt", promptOf(id + '-' + std::to_string(i))}, {"max_tokens", tokens}};
        lines += item.dump() + '\n';
    }
    const HttpRequest request{.method = "POST", .path = "/v1/batches", .headers = {{"Idempotency-Key", id}}, .body = lines};
    return this->record(CallKind::JobSubmission, id, node, request, timeout, false);
}

CallOutcome HistoryCaller::cancelJob(const std::string &id, std::size_t node, std::chrono::milliseconds timeout)
{
    const HttpRequest request{.method = "POST", .path = "/v1/batches/" + this->jobIds[id] + "/cancel"};
    return this->record(CallKind::JobCancellation, id, node, request, timeout, false);
}

std::optional<HistoryCaller::JobStatus> HistoryCaller::jobStatus(const std::string &id, std::size_t node)
{
    const HttpResponse response = this->send(node, {.method = "GET", .path = "/v1/batches/" + this->jobIds[id]}, readTimeout);
    const Json body = Json::parse(response.body, nullptr, false);
    if (response.status != statusOk || !body.is_object()) {
        return std::nullopt;
    }
    return JobStatus{body.value("status", std::string()), body.value("succeeded", 0U) + body.value("failed", 0U)};
}

std::optional<std::map<std::uint32_t, std::string>> HistoryCaller::jobResults(const std::string &id, std::size_t node)
{
    const HttpResponse response
        = this->send(node, {.method = "GET", .path = "/v1/batches/" + this->jobIds[id] + "/results"}, readTimeout);
    if (response.status != statusOk) {
        return std::nullopt;
    }
    std::map<std::uint32_t, std::string> texts;
    std::string_view rest = response.body;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        const Json line = Json::parse(rest.substr(0, end), nullptr, false);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (line.is_object()) {
            const bool hasText = line.contains("response") && line["response"].is_object();
            texts[line.value("index", 0U)] = hasText ? line["response"].value("text", std::string()) : line.dump();
        }
    }
    return texts;
}

} // namespace Dogwoodkeel
