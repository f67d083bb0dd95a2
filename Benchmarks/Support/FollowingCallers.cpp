#include <Benchmarks/Support/FollowingCallers.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr std::chrono::seconds requestTimeout{20};
constexpr std::chrono::seconds entriesTimeout{2};
constexpr std::chrono::milliseconds entriesRetryDelay{100};

std::string reasonOf(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const bool hasReason = body.is_object() && body.contains("error") && body["error"].contains("reason");
    return std::to_string(response.status) + ' ' + (hasReason ? body["error"]["reason"].get<std::string>() : "no reason");
}

} // namespace

/** One caller, with its latest entry list. */
struct FollowingCallers::Caller
{
    std::string name;
    std::string failureDomain;
    std::size_t kind = 0;
    std::vector<Address> addresses;
    std::chrono::steady_clock::time_point expires;
    std::chrono::steady_clock::time_point sent;
};

FollowingCallers::FollowingCallers(std::vector<Address> bootstrap, std::vector<std::string> failureDomains)
    : bootstrap(std::move(bootstrap)), failureDomains(std::move(failureDomains))
{
}

FollowingCallers::~FollowingCallers()
{
    this->stop();
}

void FollowingCallers::start(std::vector<Kind> kinds)
{
    this->kinds = std::move(kinds);
    this->client = std::make_unique<HttpClient>(this->loop);
    this->loop.post([this] {
        for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
            for (std::size_t i = 0; i < this->kinds[kind].callers; ++i) {
                const auto caller = std::make_shared<Caller>();
                caller->name = this->kinds[kind].name + '-' + std::to_string(i);
                caller->failureDomain = this->failureDomains[i % this->failureDomains.size()];
                caller->kind = kind;
                caller->addresses = this->bootstrap;
                ++this->open;
                this->next(caller);
            }
        }
    });
    this->thread = std::thread([this] {
        this->loop.run();
    });
}

void FollowingCallers::enterPhase(const std::string &phase)
{
    this->loop.post([this, phase] {
        this->phase = phase;
    });
}

void FollowingCallers::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    this->loop.post([this] {
        this->stopping = true;
    });
    this->thread.join();
}

std::map<std::string, std::map<std::string, CallerTally>> &FollowingCallers::tallies()
{
    return this->results;
}

void FollowingCallers::next(const std::shared_ptr<Caller> &caller)
{
    if (this->stopping) {
        if (--this->open == 0) {
            this->loop.stop();
        }
        return;
    }
    if (std::chrono::steady_clock::now() >= caller->expires) {
        this->fetchEntries(caller, 0);
        return;
    }
    caller->sent = std::chrono::steady_clock::now();
    this->send(caller, this->kinds[caller->kind].make(++this->lastNumber), 0);
}

void FollowingCallers::fetchEntries(const std::shared_ptr<Caller> &caller, std::size_t address)
{
    const Address target = caller->addresses[address % caller->addresses.size()];
    const std::string query = "caller=" + caller->name + "&failure_domain=" + caller->failureDomain + "&count=3";
    this->client->fetch(target,
                        {.method = "GET", .path = "/v1/entries", .query = query},
                        entriesTimeout,
                        [this, caller, address](ExchangeEnd end, const HttpResponse &response) {
                            const auto body = nlohmann::json::parse(response.body, nullptr, false);
                            if (end != ExchangeEnd::Complete || response.status != statusOk || !body.is_object()) {
                                this->loop.schedule(entriesRetryDelay, [this, caller, address] {
                                    this->fetchEntries(caller, address + 1);
                                });
                                return;
                            }
                            caller->addresses.clear();
                            for (const auto &entry : body["entries"]) {
                                caller->addresses.push_back(*Address::parse(entry["address"].get<std::string>()));
                            }
                            caller->expires
                                = std::chrono::steady_clock::now() + std::chrono::seconds(body["ttl_seconds"].get<int>());
                            this->next(caller);
                        });
}

void FollowingCallers::send(const std::shared_ptr<Caller> &caller, const HttpRequest &request, std::size_t address)
{
    this->client->fetch(caller->addresses[address],
                        request,
                        requestTimeout,
                        [this, caller, request, address](ExchangeEnd end, const HttpResponse &response) {
                            CallerTally &tally = this->results[this->phase][this->kinds[caller->kind].name];
                            if (end == ExchangeEnd::NotConnected && address + 1 < caller->addresses.size()) {
                                ++tally.retried;
                                this->send(caller, request, address + 1);
                                return;
                            }
                            const bool isComplete = end == ExchangeEnd::Complete;
                            const bool isRefused = isComplete && response.status != statusOk;
                            if (isRefused) {
                                ++tally.refused[reasonOf(response)];
                            } else if (!isComplete || !this->kinds[caller->kind].isWhole(response)) {
                                ++tally.interrupted;
                            } else {
                                tally.answered.add(std::chrono::steady_clock::now() - caller->sent);
                            }
                            this->pause(caller);
                        });
}

void FollowingCallers::pause(const std::shared_ptr<Caller> &caller)
{
    this->loop.schedule(this->kinds[caller->kind].pause, [this, caller] {
        this->next(caller);
    });
}

} // namespace Dogwoodkeel
