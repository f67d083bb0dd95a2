#include <LibClient/CallerClient.h>

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <thread>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/** Requests enough addresses to survive the loss of a failure domain. */
constexpr const char *entriesQuery = "count=8";

/** @return how long to wait before the next round: Retry-After, or the fallback. */
std::chrono::milliseconds pauseOf(const HttpResponse &response, std::chrono::milliseconds fallback)
{
    const std::string after = headerValue(response.headers, "Retry-After").value_or(std::string());
    int seconds = 0;
    const auto [end, error] = std::from_chars(after.data(), after.data() + after.size(), seconds);
    return error == std::errc() && !after.empty() ? std::chrono::seconds(seconds) : fallback;
}

} // namespace

CallerClient::CallerClient(Options options) : options(std::move(options))
{
}

std::optional<HttpResponse> CallerClient::callOne(const Address &address, const HttpRequest &request) const
{
    EventLoop loop;
    HttpClient client(loop);
    std::optional<HttpResponse> answer;
    client.fetch(address, request, this->options.timeout, [&loop, &answer](ExchangeEnd end, HttpResponse response) {
        if (end == ExchangeEnd::Complete) {
            answer = std::move(response);
        }
        loop.stop();
    });
    loop.run();
    return answer;
}

std::vector<Address> CallerClient::entries()
{
    if (!this->knownEntries.empty()) {
        return this->knownEntries;
    }
    for (const Address &node : this->options.nodes) {
        const auto answer = this->callOne(node, {.method = "GET", .path = "/v1/entries", .query = entriesQuery});
        if (!answer || answer->status != statusOk) {
            continue;
        }
        const nlohmann::json reported = nlohmann::json::parse(answer->body, nullptr, false);
        if (!reported.is_object() || !reported.contains("entries")) {
            continue;
        }
        for (const nlohmann::json &entry : reported["entries"]) {
            const bool hasAddress = entry.is_object() && entry.contains("address") && entry["address"].is_string();
            const auto address = hasAddress ? Address::parse(entry["address"].get<std::string>()) : std::nullopt;
            if (address) {
                this->knownEntries.push_back(*address);
            }
        }
        if (!this->knownEntries.empty()) {
            return this->knownEntries;
        }
    }
    return this->options.nodes;
}

HttpResponse CallerClient::call(const std::string &method,
                                const std::string &path,
                                const std::string &query,
                                const std::string &body,
                                const HttpHeaders &headers)
{
    HttpRequest request{.method = method, .path = path, .query = query, .headers = headers, .body = body};
    if (!this->options.key.empty()) {
        request.headers["Authorization"] = "Bearer " + this->options.key;
    }
    HttpResponse last{0, {}, "no node answered"};
    for (int round = 0; round < this->options.rounds; ++round) {
        for (const Address &address : this->entries()) {
            auto answer = this->callOne(address, request);
            if (answer && answer->status != statusUnavailable) {
                return std::move(*answer);
            }
            if (answer) {
                last = std::move(*answer);
            }
        }
        // The reported addresses may all be out of date.
        this->knownEntries.clear();
        if (round + 1 < this->options.rounds) {
            std::this_thread::sleep_for(pauseOf(last, this->options.pause));
        }
    }
    return last;
}

} // namespace Dogwoodkeel
