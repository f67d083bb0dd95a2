#include "BatchCommand.h"

#include "OperatorClient.h"

#include <LibBase/Encoding.h>
#include <LibClient/CallerClient.h>

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>

DECLARE_bool(json);

DEFINE_string(nodes, "", "addresses of nodes to try first, separated by commas; defaults to the one of --node");
DEFINE_string(idempotency_key,
              "",
              "identifies a submission, so that a repeated submission returns the same job; random if not given");
DEFINE_uint32(due_in, 0, "seconds until the results are due; 0: as configured in the settings");
DEFINE_bool(watch, false, "wait until the job has ended");

namespace Dogwoodkeel
{

const char *const batchHelp
    = "usage: dogwoodkeel batch submit FILE [--due_in=SECONDS] [--idempotency_key=KEY] [--watch] [--json]\n"
      "       dogwoodkeel batch status ID [--watch] [--json]\n"
      "       dogwoodkeel batch list [--json]\n"
      "       dogwoodkeel batch results ID\n"
      "       dogwoodkeel batch cancel ID [--json]\n"
      "with [--nodes=ADDRESS,...] [--key_file=FILE]; the key may also be in DOGWOODKEEL_KEY\n"
      "FILE holds one item per line: a JSON object with a model and a prompt or messages, or one with a custom_id and such an\n"
      "object as body. Results come as JSON lines in item order. On a terminal --watch shows the progress.\n"
      "exit codes: 0 done, 1 no node answered or the job did not complete, 2 wrong command line, 3 refused\n";

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusUnavailable = 503;
constexpr std::size_t keyBytes = 12;
constexpr std::chrono::seconds watchInterval{1};

ExitCode usage()
{
    std::fputs(batchHelp, stderr);
    return ExitCode::Usage;
}

std::string callerKey()
{
    std::string key;
    if (!FLAGS_key_file.empty()) {
        std::ifstream file(FLAGS_key_file);
        std::getline(file, key);
    } else if (const char *const variable = std::getenv("DOGWOODKEEL_KEY")) {
        key = variable;
    }
    return key;
}

CallerClient makeClient()
{
    CallerClient::Options options;
    std::istringstream names(FLAGS_nodes.empty() ? FLAGS_node : FLAGS_nodes);
    for (std::string name; std::getline(names, name, ',');) {
        if (const auto address = Address::parse(name)) {
            options.nodes.push_back(*address);
        } else {
            std::fprintf(stderr, "%s is not an address such as 127.0.0.1:8080\n", name.c_str());
        }
    }
    options.key = callerKey();
    return CallerClient(std::move(options));
}

bool isSuccess(const HttpResponse &response)
{
    return response.status == statusOk || response.status == statusAccepted;
}

/** Prints the error of a response. @return the exit code for it */
ExitCode fail(const HttpResponse &response)
{
    const Json body = Json::parse(response.body, nullptr, false);
    const Json error = body.is_object() ? body.value("error", Json::object()) : Json::object();
    std::fprintf(stderr, "%s\n", error.value("message", response.body).c_str());
    return response.status == 0 ? ExitCode::Failure : ExitCode::Refused;
}

std::string progressLine(const Json &job)
{
    return job.value("id", "") + "  " + job.value("status", "") + "  " + std::to_string(job.value("succeeded", 0U)) + " done, "
        + std::to_string(job.value("failed", 0U)) + " failed of " + std::to_string(job.value("items", 0U));
}

void print(const Json &job, const std::string &body)
{
    std::puts(FLAGS_json ? body.substr(0, body.find('\n')).c_str() : progressLine(job).c_str());
}

/** Prints the status of a job; with --watch, waits until the job has ended. */
ExitCode printStatus(CallerClient &client, const std::string &id)
{
    for (;;) {
        const HttpResponse response = client.call("GET", "/v1/batches/" + id);
        if (!isSuccess(response)) {
            return fail(response);
        }
        const Json job = Json::parse(response.body, nullptr, false);
        const bool isRunning = job.value("status", "") == "running";
        if (FLAGS_watch && isRunning) {
            if (isatty(STDERR_FILENO) != 0) {
                std::fprintf(stderr, "\r%s", progressLine(job).c_str());
            }
            std::this_thread::sleep_for(watchInterval);
            continue;
        }
        if (FLAGS_watch && isatty(STDERR_FILENO) != 0) {
            std::fputs("\r\x1b[K", stderr);
        }
        print(job, response.body);
        return FLAGS_watch && job.value("status", "") != "completed" ? ExitCode::Failure : ExitCode::Success;
    }
}

ExitCode submit(CallerClient &client, const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::fprintf(stderr, "%s cannot be read\n", path.c_str());
        return ExitCode::Usage;
    }
    const std::string items{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    const std::string key = FLAGS_idempotency_key.empty() ? "cli-" + randomHex(keyBytes) : FLAGS_idempotency_key;
    const std::string query = FLAGS_due_in > 0 ? "due_in=" + std::to_string(FLAGS_due_in) : std::string();
    const HttpHeaders headers{{"Content-Type", "application/x-ndjson"}, {"Idempotency-Key", key}};
    const HttpResponse response = client.call("POST", "/v1/batches", query, items, headers);
    if (!isSuccess(response)) {
        const ExitCode code = fail(response);
        if (response.status == 0 || response.status == statusUnavailable) {
            std::fprintf(stderr, "the job may have been accepted; to retry safely: --idempotency_key=%s\n", key.c_str());
        }
        return code;
    }
    const Json job = Json::parse(response.body, nullptr, false);
    if (FLAGS_watch) {
        return printStatus(client, job.value("id", ""));
    }
    print(job, response.body);
    return ExitCode::Success;
}

ExitCode list(CallerClient &client)
{
    const HttpResponse response = client.call("GET", "/v1/batches");
    if (!isSuccess(response)) {
        return fail(response);
    }
    const Json body = Json::parse(response.body, nullptr, false);
    if (FLAGS_json) {
        std::fputs(response.body.c_str(), stdout);
        return ExitCode::Success;
    }
    for (const Json &job : body.value("data", Json::array())) {
        std::puts(progressLine(job).c_str());
    }
    if (!body.value("is_complete", true)) {
        std::fputs("some nodes did not answer: the list may be incomplete\n", stderr);
    }
    return ExitCode::Success;
}

ExitCode results(CallerClient &client, const std::string &id)
{
    std::string from = "0";
    for (;;) {
        const HttpResponse page = client.call("GET", "/v1/batches/" + id + "/results", "from=" + from);
        if (!isSuccess(page)) {
            return fail(page);
        }
        std::fwrite(page.body.data(), 1, page.body.size(), stdout);
        const std::string next = headerValue(page.headers, "Dogwoodkeel-Next").value_or(from);
        if (page.body.empty() || next == from) {
            return ExitCode::Success;
        }
        from = next;
    }
}

ExitCode cancel(CallerClient &client, const std::string &id)
{
    const HttpResponse response = client.call("POST", "/v1/batches/" + id + "/cancel");
    if (!isSuccess(response)) {
        return fail(response);
    }
    print(Json::parse(response.body, nullptr, false), response.body);
    return ExitCode::Success;
}

} // namespace

ExitCode runBatch(const std::vector<std::string> &arguments)
{
    using Action = ExitCode (*)(CallerClient &, const std::string &);
    static const std::map<std::string, Action> actions{
        {"submit", submit}, {"status", printStatus}, {"results", results}, {"cancel", cancel}};
    CallerClient client = makeClient();
    if (arguments == std::vector<std::string>{"list"}) {
        return list(client);
    }
    const auto action = arguments.size() == 2 ? actions.find(arguments.front()) : actions.end();
    return action != actions.end() ? action->second(client, arguments.back()) : usage();
}

ExitCode runResults(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        std::fputs("usage: dogwoodkeel results ID\n", stderr);
        return ExitCode::Usage;
    }
    CallerClient client = makeClient();
    const HttpResponse response = client.call("GET", "/v1/results/" + arguments.front());
    if (!isSuccess(response)) {
        return fail(response);
    }
    std::fputs(response.body.c_str(), stdout);
    return ExitCode::Success;
}

ExitCode runEntries(const std::vector<std::string> &arguments)
{
    if (!arguments.empty()) {
        std::fputs("usage: dogwoodkeel entries\n", stderr);
        return ExitCode::Usage;
    }
    CallerClient client = makeClient();
    const HttpResponse response = client.call("GET", "/v1/entries");
    if (!isSuccess(response)) {
        return fail(response);
    }
    if (FLAGS_json) {
        std::fputs(response.body.c_str(), stdout);
        return ExitCode::Success;
    }
    for (const Json &entry : Json::parse(response.body, nullptr, false).value("entries", Json::array())) {
        std::printf("%-21s %s\n", entry.value("address", "").c_str(), entry.value("failure_domain", "").c_str());
    }
    return ExitCode::Success;
}

} // namespace Dogwoodkeel
