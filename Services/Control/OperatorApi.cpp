#include <Services/Control/OperatorApi.h>

#include <LibControl/ConfigurationCheck.h>
#include <LibControl/ConfigurationJson.h>
#include <LibHttp/QueryNumbers.h>
#include <Services/Control/PeerSurvey.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusInvalid = 422;
constexpr int statusUnavailable = 503;
constexpr std::size_t defaultLogLimit = 20;
constexpr std::size_t maxLogLimit = 1000;

HttpResponse answer(int status, const Json &json)
{
    return {status, {{"Content-Type", "application/json"}}, json.dump() + '\n'};
}

HttpResponse refusal(int status, const char *reason, const std::string &message)
{
    return answer(status, {{"error", {{"reason", reason}, {"message", message}}}, {"run", "not_run"}});
}

Json describe(const ConfigurationStateResponse &state)
{
    return {{"vm", state.vm.value()},
            {"site", state.site},
            {"failure_domain", state.failureDomain.value()},
            {"in_force", state.inForce},
            {"seen", state.seen},
            {"obstacle", state.obstacle}};
}

Json describeUnresponsive(const Member &member)
{
    return {{"vm", member.vm.value()},
            {"failure_domain", member.failureDomain.value()},
            {"in_force", member.configVersion},
            {"obstacle", "the node did not answer"}};
}

} // namespace

OperatorApi::OperatorApi(ConfigurationService &configuration,
                         const StatusBoard &board,
                         PeerClient &peers,
                         std::function<std::vector<Member>()> members)
    : configuration(configuration), board(board), peers(peers), members(std::move(members))
{
}

void OperatorApi::serve(const OperatorRequest &request, const OperatorRespond &respond)
{
    const HttpRequest &http = request.request;
    const bool isGet = http.method == "GET";
    const bool isPost = http.method == "POST";
    if (isGet && http.path == "/v1/config") {
        this->show(http, respond);
    } else if (isPost && http.path == "/v1/config") {
        this->apply(request, respond);
    } else if (isGet && http.path == "/v1/config/log") {
        this->log(http, respond);
    } else if (isPost && http.path == "/v1/config/check") {
        check(http, respond);
    } else if (isPost && http.path == "/v1/config/revert") {
        this->revert(request, respond);
    } else if (isGet && http.path == "/v1/config/nodes") {
        this->nodes(respond);
    } else if (isGet && http.path == "/v1/status") {
        this->status(respond);
    } else {
        respond(refusal(statusNotFound, "no_such_path", http.method + " " + http.path + " is not served"));
    }
}

void OperatorApi::show(const HttpRequest &request, const OperatorRespond &respond)
{
    const ConfigurationKeeper &keeper = this->configuration.keeper();
    QueryNumbers numbers(request.query);
    const auto number = numbers.number<std::uint64_t>("version", keeper.row().number);
    if (!numbers.isValid()) {
        respond(refusal(statusBadRequest, "bad_query", numbers.error()));
        return;
    }
    if (number == keeper.row().number) {
        respond(answer(statusOk, ConfigurationJson::format(keeper.row(), keeper.content())));
        return;
    }
    this->readVersion(number, [respond](const ConfigurationRow *row, const ConfigurationContent *content) {
        if (row == nullptr) {
            respond(refusal(statusNotFound, "no_such_version", "there is no such version, or it cannot be read now"));
            return;
        }
        respond(answer(statusOk, ConfigurationJson::format(*row, *content)));
    });
}

void OperatorApi::readVersion(std::uint64_t number,
                              std::function<void(const ConfigurationRow *, const ConfigurationContent *)> done)
{
    this->configuration.store().readPair(number, [this, number, done = std::move(done)](const ConfigurationRows &read) {
        if (read.rows.empty() || read.rows.front().number != number) {
            done(nullptr, nullptr);
            return;
        }
        const ConfigurationRow row = read.rows.front();
        this->configuration.store().readContent(row, [row, done](const std::optional<ConfigurationContent> &content) {
            done(content ? &row : nullptr, content ? &*content : nullptr);
        });
    });
}

void OperatorApi::log(const HttpRequest &request, const OperatorRespond &respond)
{
    QueryNumbers numbers(request.query);
    const std::size_t limit = std::min(numbers.number("limit", defaultLogLimit), maxLogLimit);
    if (!numbers.isValid()) {
        respond(refusal(statusBadRequest, "bad_query", numbers.error()));
        return;
    }
    this->configuration.store().readNewest(limit, [respond](const ConfigurationRows &read) {
        if (read.outcome != ReadOutcome::Found) {
            respond(refusal(statusUnavailable, "platform_down", "the platform does not answer now"));
            return;
        }
        Json versions = Json::array();
        for (const ConfigurationRow &row : read.rows) {
            versions.push_back(ConfigurationJson::describe(row));
        }
        respond(answer(statusOk, {{"versions", versions}}));
    });
}

void OperatorApi::check(const HttpRequest &request, const OperatorRespond &respond)
{
    const auto content = ConfigurationJson::parseContent(Json::parse(request.body, nullptr, false));
    if (!content) {
        respond(refusal(statusBadRequest, "bad_request", "the body must be a JSON object with base and overlays"));
        return;
    }
    Findings findings;
    checkConfiguration(*content, Access::MayBeOpen, findings);
    respond(answer(findings.isEmpty() ? statusOk : statusInvalid, {{"findings", ConfigurationJson::format(findings)}}));
}

void OperatorApi::apply(const OperatorRequest &request, const OperatorRespond &respond)
{
    auto proposal = ConfigurationJson::parseProposal(request.request.body);
    if (!proposal) {
        respond(refusal(
            statusBadRequest, "bad_request", "the body must be a JSON object with edited, nonce, reason, base and overlays"));
        return;
    }
    proposal->author = request.operatorName;
    this->propose(*std::move(proposal), respond);
}

void OperatorApi::revert(const OperatorRequest &request, const OperatorRespond &respond)
{
    Json body = Json::parse(request.request.body, nullptr, false);
    if (body.is_object()) {
        body["base"] = "";
    }
    const auto parsed = ConfigurationJson::parseProposal(body.dump(-1, ' ', false, Json::error_handler_t::replace));
    if (!parsed || !body.contains("version") || !body["version"].is_number_unsigned()) {
        respond(
            refusal(statusBadRequest, "bad_request", "the body must be a JSON object with version, edited, nonce and reason"));
        return;
    }
    ConfigurationProposal proposal = *parsed;
    proposal.author = request.operatorName;
    const auto onRead = [this, proposal, respond](const ConfigurationRow *row, const ConfigurationContent *content) {
        if (row == nullptr) {
            respond(refusal(statusNotFound, "no_such_version", "there is no such version, or it cannot be read now"));
            return;
        }
        ConfigurationProposal back = proposal;
        back.content = *content;
        this->propose(std::move(back), respond);
    };
    this->readVersion(body["version"].get<std::uint64_t>(), onRead);
}

void OperatorApi::propose(ConfigurationProposal proposal, const OperatorRespond &respond)
{
    this->configuration.apply(std::move(proposal), [this, respond](const ApplyResult &result) {
        switch (result.outcome) {
        case ApplyOutcome::Accepted:
            respond(answer(statusOk, ConfigurationJson::describe(result.row)));
            return;
        case ApplyOutcome::Raced:
            this->respondRaced(result.row, respond);
            return;
        case ApplyOutcome::Invalid:
            respond(answer(statusInvalid, {{"findings", ConfigurationJson::format(result.findings)}, {"run", "not_run"}}));
            return;
        case ApplyOutcome::NotApplied:
            respond(refusal(statusUnavailable, "platform_down", "the platform does not answer; nothing was applied"));
            return;
        case ApplyOutcome::Unknown:
            respond(answer(statusUnavailable,
                           {{"error",
                             {{"reason", "outcome_unknown"},
                              {"message", "the platform's answer was lost; send it again with the same nonce"}}},
                            {"run", "unknown"}}));
            return;
        }
    });
}

void OperatorApi::respondRaced(const ConfigurationRow &winner, const OperatorRespond &respond)
{
    this->configuration.store().readContent(winner, [winner, respond](const std::optional<ConfigurationContent> &content) {
        Json json{{"error", {{"reason", "raced"}, {"message", "another version took the number"}}}, {"run", "not_run"}};
        json["winner"] = content ? ConfigurationJson::format(winner, *content) : ConfigurationJson::describe(winner);
        respond(answer(statusConflict, json));
    });
}

void OperatorApi::nodes(const OperatorRespond &respond)
{
    PeerSurvey<ConfigurationStateRequest>::start(this->peers, this->members(), {}, [respond](const auto &replies) {
        Json nodes = Json::array();
        for (const auto &reply : replies) {
            nodes.push_back(reply.response ? describe(*reply.response) : describeUnresponsive(reply.member));
        }
        respond(answer(statusOk, {{"nodes", nodes}}));
    });
}

void OperatorApi::status(const OperatorRespond &respond)
{
    PeerSurvey<StatusRequest>::start(this->peers, this->members(), {}, [respond](const auto &replies) {
        Json nodes = Json::array();
        for (const auto &reply : replies) {
            Json node{{"vm", reply.member.vm.value()},
                      {"failure_domain", reply.member.failureDomain.value()},
                      {"session", reply.member.session.value()},
                      {"address", reply.member.http.toString()},
                      {"state", std::string(toString(reply.member.state))}};
            node["report"] = reply.response ? Json::parse(reply.response->report, nullptr, false) : Json();
            nodes.push_back(std::move(node));
        }
        respond(answer(statusOk, {{"nodes", nodes}}));
    });
}

} // namespace Dogwoodkeel
