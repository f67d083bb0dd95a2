#include "ConfigCommand.h"

#include "ConfigDirectory.h"
#include "ConfigWait.h"
#include "Flags.h"
#include "OperatorClient.h"

#include <LibBase/Encoding.h>
#include <LibBase/Numbers.h>
#include <LibControl/ConfigurationCheck.h>
#include <LibControl/ConfigurationJson.h>
#include <LibControl/TextDifference.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <set>
#include <thread>

DEFINE_string(directory, "", "working copy of the configuration: base.toml, sites/NAME.toml and VERSION");
DEFINE_string(reason, "", "why the configuration is changed");
DEFINE_bool(wait, false, "wait until every node has the version in force");
DEFINE_bool(rebase, false, "if another operator's version was accepted first, rebase the changes onto it and apply again");
DEFINE_uint64(config_version, 0, "version to show; 0: the newest");
DEFINE_int32(limit, 20, "how many versions to list");

namespace Dogwoodkeel
{

const char *const configHelp
    = "usage: dogwoodkeel config check --settings=FILE,...       check a VM's own files\n"
      "       dogwoodkeel config check --directory=DIR           check a working copy for every site\n"
      "       dogwoodkeel config show [--directory=DIR] [--config_version=N]\n"
      "                                                          print a version, or write a working copy\n"
      "       dogwoodkeel config diff --directory=DIR            what the working copy changes in the newest version\n"
      "       dogwoodkeel config apply --directory=DIR --reason=TEXT [--rebase] [--wait]\n"
      "       dogwoodkeel config log [--limit=N]                 versions with time, author and reason\n"
      "       dogwoodkeel config revert N --reason=TEXT [--wait] make version N's content the newest version\n"
      "       dogwoodkeel config wait N                          wait until every node has version N in force\n"
      "All commands except check query a node: --node=ADDRESS --key_file=FILE.\n"
      "exit codes: 0 done, 1 failed or another version was accepted first, 2 errors in files or command line\n";

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusInvalid = 422;
constexpr int maxSendAttempts = 5;
constexpr int maxRebases = 5;
constexpr std::size_t nonceBytes = 16;
constexpr std::chrono::milliseconds resendInterval{500};

/** A configuration version as returned by a node. */
struct ShownVersion
{
    std::uint64_t number = 0;
    ConfigurationContent content;
};

ExitCode usage()
{
    std::fputs(configHelp, stderr);
    return ExitCode::Usage;
}

ExitCode fail(const HttpResponse &response)
{
    std::fprintf(stderr, "%s\n", response.body.c_str());
    return ExitCode::Failure;
}

ExitCode failAtDirectory()
{
    std::fprintf(stderr, "%s/%s cannot be read or written\n", FLAGS_directory.c_str(), baseFileName);
    return ExitCode::Usage;
}

ExitCode printFindings(const Json &findings)
{
    for (const Json &finding : findings) {
        const Finding reported{{finding.value("file", ""), finding.value("line", 0U), finding.value("column", 0U)},
                               finding.value("message", "")};
        std::fprintf(stderr, "%s\n", reported.toString().c_str());
    }
    return ExitCode::Usage;
}

ExitCode check()
{
    Findings findings;
    std::vector<SettingsSource> sources;
    if (FLAGS_directory.empty()) {
        loadServeSettings(sources, findings);
    } else {
        const auto content = ConfigDirectory(FLAGS_directory).read();
        if (!content) {
            return failAtDirectory();
        }
        checkConfiguration(*content, Access::MayBeOpen, findings);
    }
    if (!findings.isEmpty()) {
        std::fputs(findings.toString().c_str(), stderr);
        return ExitCode::Usage;
    }
    std::puts("the settings are valid");
    return ExitCode::Success;
}

std::optional<ShownVersion> parseVersion(const Json &json)
{
    const auto content = ConfigurationJson::parseContent(json);
    if (!content) {
        return std::nullopt;
    }
    return ShownVersion{json.value("version", std::uint64_t{0}), *content};
}

std::optional<ShownVersion> fetchVersion(std::uint64_t number, HttpResponse &response)
{
    const std::string query = number > 0 ? "?version=" + std::to_string(number) : std::string();
    response = OperatorClient::call("GET", "/v1/config" + query);
    return response.status == statusOk ? parseVersion(Json::parse(response.body, nullptr, false)) : std::nullopt;
}

ExitCode show()
{
    HttpResponse response;
    const auto version = fetchVersion(FLAGS_config_version, response);
    if (!version) {
        return fail(response);
    }
    if (!FLAGS_directory.empty()) {
        if (!ConfigDirectory(FLAGS_directory).write(version->number, version->content)) {
            return failAtDirectory();
        }
        std::printf("version %llu written to %s\n", static_cast<unsigned long long>(version->number), FLAGS_directory.c_str());
        return ExitCode::Success;
    }
    std::printf("# version %llu\n# %s\n%s",
                static_cast<unsigned long long>(version->number),
                baseFileName,
                version->content.base.c_str());
    for (const ConfigurationOverlay &overlay : version->content.overlays) {
        std::printf("# %s\n%s", overlayFileName(overlay.site).c_str(), overlay.text.c_str());
    }
    return ExitCode::Success;
}

std::string overlayText(const ConfigurationContent &content, const std::string &site)
{
    const auto found = std::ranges::find(content.overlays, site, &ConfigurationOverlay::site);
    return found != content.overlays.end() ? found->text : std::string();
}

std::set<std::string> sitesOf(std::initializer_list<const ConfigurationContent *> contents)
{
    std::set<std::string> sites;
    for (const ConfigurationContent *const content : contents) {
        for (const ConfigurationOverlay &overlay : content->overlays) {
            sites.insert(overlay.site);
        }
    }
    return sites;
}

std::string difference(const ConfigurationContent &before, const ConfigurationContent &after)
{
    std::string text = describeChanges(baseFileName, before.base, after.base);
    for (const std::string &site : sitesOf({&before, &after})) {
        text += describeChanges(overlayFileName(site), overlayText(before, site), overlayText(after, site));
    }
    return text;
}

ExitCode diff()
{
    const ConfigDirectory directory(FLAGS_directory);
    const auto content = directory.read();
    if (!content) {
        return failAtDirectory();
    }
    HttpResponse response;
    const auto newest = fetchVersion(0, response);
    if (!newest) {
        return fail(response);
    }
    if (newest->number != directory.edited()) {
        std::printf("the working copy was made from version %llu, but version %llu is the newest\n",
                    static_cast<unsigned long long>(directory.edited()),
                    static_cast<unsigned long long>(newest->number));
    }
    std::fputs(difference(newest->content, *content).c_str(), stdout);
    return ExitCode::Success;
}

/**
 * Sends a change until its outcome is known, a limited number of times. A change that is sent again has the same nonce, so
 * it is accepted at most once.
 */
HttpResponse sendChange(const std::string &path, const std::string &body)
{
    HttpResponse response;
    for (int i = 0; i < maxSendAttempts; ++i) {
        response = OperatorClient::call("POST", path, body);
        const bool mayHaveRun = response.status == 0 || response.body.find("outcome_unknown") != std::string::npos;
        if (!mayHaveRun) {
            return response;
        }
        std::fputs("no answer yet, sending again\n", stderr);
        std::this_thread::sleep_for(resendInterval);
    }
    return response;
}

ExitCode accepted(const HttpResponse &response)
{
    const auto number = Json::parse(response.body, nullptr, false).value("version", std::uint64_t{0});
    std::printf("accepted as version %llu\n", static_cast<unsigned long long>(number));
    if (!FLAGS_directory.empty() && !ConfigDirectory(FLAGS_directory).writeVersion(number)) {
        return failAtDirectory();
    }
    return FLAGS_wait ? waitInForce(number) : ExitCode::Success;
}

/**
 * Merges configurations: applies the changes from `common` to `ours` on top of `theirs`.
 * @return the merged configuration, or nothing if there are conflicts
 */
std::optional<ConfigurationContent>
rebase(const ConfigurationContent &common, const ConfigurationContent &theirs, const ConfigurationContent &ours)
{
    bool isMerged = true;
    const auto merge
        = [&isMerged](const std::string &name, const std::string &from, const std::string &left, const std::string &right) {
              const TextMerge merged = mergeTexts(from, left, right);
              for (const std::size_t line : merged.conflicts) {
                  std::fprintf(stderr, "%s:%zu: conflict: both versions change this line\n", name.c_str(), line);
                  isMerged = false;
              }
              return merged.text;
          };
    ConfigurationContent result;
    result.base = merge(baseFileName, common.base, theirs.base, ours.base);
    for (const std::string &site : sitesOf({&theirs, &ours})) {
        const std::string text
            = merge(overlayFileName(site), overlayText(common, site), overlayText(theirs, site), overlayText(ours, site));
        result.overlays.push_back({site, text});
    }
    return isMerged ? std::optional(result) : std::nullopt;
}

/**
 * Handles a proposal that lost to another version: prints what the accepted version changes and, with --rebase, rebases the
 * proposal onto it.
 * @return whether to send the proposal again
 */
bool handleConflict(const HttpResponse &response, ConfigurationProposal &proposal)
{
    const auto winner = parseVersion(Json::parse(response.body, nullptr, false).value("winner", Json()));
    HttpResponse answer;
    const auto common = proposal.edited > 0 ? fetchVersion(proposal.edited, answer) : std::optional(ShownVersion{});
    if (!winner || !common) {
        fail(response);
        return false;
    }
    std::fprintf(stderr,
                 "version %llu was accepted first; it changes:\n%s",
                 static_cast<unsigned long long>(winner->number),
                 difference(common->content, winner->content).c_str());
    if (!FLAGS_rebase) {
        std::fputs("apply with --rebase to rebase your changes onto it\n", stderr);
        return false;
    }
    const auto rebased = rebase(common->content, winner->content, proposal.content);
    if (!rebased) {
        return false;
    }
    proposal.edited = winner->number;
    proposal.content = *rebased;
    proposal.nonce = randomHex(nonceBytes);
    return ConfigDirectory(FLAGS_directory).write(winner->number, *rebased);
}

ExitCode apply()
{
    const ConfigDirectory directory(FLAGS_directory);
    const auto content = directory.read();
    if (!content) {
        return failAtDirectory();
    }
    ConfigurationProposal proposal{directory.edited(), randomHex(nonceBytes), {}, FLAGS_reason, *content};
    HttpResponse response;
    for (int i = 0; i < maxRebases; ++i) {
        response = sendChange("/v1/config", ConfigurationJson::format(proposal).dump());
        if (response.status == statusOk) {
            return accepted(response);
        }
        if (response.status == statusInvalid) {
            return printFindings(Json::parse(response.body, nullptr, false).value("findings", Json::array()));
        }
        if (response.status != statusConflict) {
            return fail(response);
        }
        if (!handleConflict(response, proposal)) {
            return ExitCode::Failure;
        }
    }
    return fail(response);
}

ExitCode log()
{
    const HttpResponse response = OperatorClient::call("GET", "/v1/config/log?limit=" + std::to_string(FLAGS_limit));
    if (response.status != statusOk) {
        return fail(response);
    }
    for (const Json &version : Json::parse(response.body, nullptr, false).value("versions", Json::array())) {
        const std::time_t created = version.value("created", std::time_t{0});
        std::array<char, 32> when{};
        std::tm calendar{};
        std::strftime(when.data(), when.size(), "%Y-%m-%d %H:%M:%S UTC", gmtime_r(&created, &calendar));
        std::printf("%8llu  %s  %s  %s\n",
                    static_cast<unsigned long long>(version.value("version", std::uint64_t{0})),
                    when.data(),
                    version.value("author", "").c_str(),
                    version.value("reason", "").c_str());
    }
    return ExitCode::Success;
}

ExitCode revert(std::uint64_t number)
{
    HttpResponse response;
    const auto newest = fetchVersion(0, response);
    if (!newest) {
        return fail(response);
    }
    const std::string reason = FLAGS_reason.empty() ? "revert to version " + std::to_string(number) : FLAGS_reason;
    const Json body{{"version", number}, {"edited", newest->number}, {"nonce", randomHex(nonceBytes)}, {"reason", reason}};
    response = sendChange("/v1/config/revert", body.dump());
    if (response.status == statusInvalid) {
        return printFindings(Json::parse(response.body, nullptr, false).value("findings", Json::array()));
    }
    return response.status == statusOk ? accepted(response) : fail(response);
}

} // namespace

ExitCode runConfig(const std::vector<std::string> &arguments)
{
    const std::string action = arguments.empty() ? std::string() : arguments.front();
    if (action == "revert" || action == "wait") {
        const auto number = arguments.size() == 2 ? parseNumber(arguments[1]) : std::nullopt;
        if (!number) {
            return usage();
        }
        return action == "revert" ? revert(*number) : waitInForce(*number);
    }
    if (arguments.size() != 1) {
        return usage();
    }
    if (action == "check") {
        return check();
    }
    if (action == "show") {
        return show();
    }
    if (action == "diff") {
        return diff();
    }
    if (action == "apply") {
        return apply();
    }
    return action == "log" ? log() : usage();
}

} // namespace Dogwoodkeel
