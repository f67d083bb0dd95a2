#include <Tests/Soak/SoakWorld.h>

#include <LibBase/Hash.h>
#include <Tests/Fakes/SignedHeaders.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t fewestEvents = 5;
constexpr std::size_t mostEvents = 25;
constexpr int replicaSlots = 4;
/** How long a replica runs a request that crashes it. */
constexpr std::chrono::milliseconds timeToCrash{30};
constexpr std::chrono::milliseconds timeToReturn{2000};
constexpr const char *streamService = "llm";
constexpr const char *plainService = "api";
/** Reading rows by the thousand, as the table of jobs of a whole run; a page of the store is as large. */
constexpr std::size_t storePage = 200;

std::string header(const std::shared_ptr<CallerExchange> &exchange, const char *name)
{
    return std::string(exchange->head().headers.find(name).value_or(""));
}

nlohmann::json route(const char *name, const char *kind, const char *service, bool isResumable)
{
    return {{"name", name},
            {"host", "h"},
            {"prefix", std::string("/") + name + "/"},
            {"routeKind", kind},
            {"timeoutMs", 6000},
            {"fullValueMs", 400},
            {"service", service},
            {"maxAttempts", 3},
            {"resumable", isResumable},
            {"gapTargetMs", 300}};
}

} // namespace

std::vector<std::string> outputOf(const std::string &body, std::string_view version)
{
    const std::uint64_t hash = stableHash(body);
    std::vector<std::string> output;
    for (std::size_t event = 0; event < fewestEvents + hash % (mostEvents - fewestEvents); ++event) {
        output.push_back(std::string(version) + "e" + std::to_string(hash % 99991) + "." + std::to_string(event + 1));
    }
    return output;
}

SoakWorld::SoakWorld(EventLoop &loop, SoakRecord &record, CrashRecord &crashes, std::size_t nodes, std::size_t replicas)
    : loop(loop), record(record), crashes(crashes), store(loop, this->clock), eventPause(usualEventPause)
{
    this->store.rows().setPageSize(storePage);
    for (std::size_t node = 0; node < nodes; ++node) {
        this->storeWays.push_back(std::make_unique<FaultProxy>(loop, this->store.address()));
    }
    for (std::size_t replica = 0; replica < replicas; ++replica) {
        this->addReplica(replica % 3 == 2 ? plainService : streamService);
        this->registerReplica(replica, "ready");
    }
    this->configure();
}

void SoakWorld::addReplica(const std::string &service)
{
    Replica made;
    made.instance = "i-" + std::to_string(this->replicas.size());
    made.service = service;
    made.version = this->replicas.size() % softwareVersions.size();
    made.server = std::make_unique<CallerServer>(this->loop,
                                                 this->clock,
                                                 Address{"127.0.0.1", 0},
                                                 CallerLimits{},
                                                 [this, replica = this->replicas.size()](const auto &exchange) {
                                                     this->serve(replica, exchange);
                                                 });
    made.way = std::make_unique<FaultProxy>(this->loop, made.server->address());
    this->replicas.push_back(std::move(made));
}

void SoakWorld::serve(std::size_t replica, const std::shared_ptr<CallerExchange> &exchange)
{
    const Replica &one = this->replicas.at(replica);
    this->record.noteRun(header(exchange, "X-Request-Id"));
    if (exchange->body().starts_with(crashMark)) {
        this->runCrashing(replica, exchange->body());
        return;
    }
    if (one.service == plainService) {
        this->loop.schedule(this->eventPause, [exchange] {
            exchange->send(200, signedHeaders(exchange), "done " + exchange->body());
        });
        return;
    }
    const std::string last = header(exchange, "Last-Event-Id");
    exchange->begin(200, signedHeaders(exchange));
    this->generate(exchange, outputOf(exchange->body(), softwareVersions.at(one.version)), last.empty() ? 0 : std::stoul(last));
}

void SoakWorld::generate(const std::shared_ptr<CallerExchange> &exchange,
                         const std::vector<std::string> &output,
                         std::size_t next)
{
    if (next >= output.size()) {
        exchange->end();
        return;
    }
    exchange->write("id: " + std::to_string(next + 1) + "\ndata: " + output[next] + "\n\n");
    this->loop.schedule(this->eventPause, [this, exchange, output, next] {
        if (!exchange->isOver()) {
            this->generate(exchange, output, next + 1);
        }
    });
}

void SoakWorld::runCrashing(std::size_t replica, const std::string &content)
{
    Replica &one = this->replicas.at(replica);
    this->crashes.noteRun(content);
    one.crashing.insert(content);
    this->loop.schedule(timeToCrash, [this, replica, born = one.born] {
        if (this->replicas.at(replica).born == born) {
            this->endReplica(replica);
        }
    });
}

void SoakWorld::endReplica(std::size_t replica)
{
    Replica &one = this->replicas.at(replica);
    if (std::exchange(one.isGone, true)) {
        return;
    }
    this->crashes.noteEnd(std::exchange(one.crashing, {}));
    one.way->stop();
    this->loop.schedule(timeToReturn, [this, replica] {
        Replica &back = this->replicas.at(replica);
        back.isGone = false;
        ++back.born;
        back.way->resume();
        this->registerReplica(replica, "ready");
    });
}

FaultProxy &SoakWorld::storeWay(std::size_t node)
{
    return *this->storeWays.at(node);
}

FaultProxy &SoakWorld::replicaWay(std::size_t replica)
{
    return *this->replicas.at(replica).way;
}

StandInStore &SoakWorld::platform()
{
    return this->store;
}

std::size_t SoakWorld::replicaCount() const
{
    return this->replicas.size();
}

void SoakWorld::configure()
{
    nlohmann::json batch = route("b", "batch", streamService, true);
    batch["completionTargetMs"] = 8000;
    batch["maxCount"] = 1000000;
    batch["retentionS"] = 600;
    const nlohmann::json configuration{
        {"version", ++this->version},
        {"routes",
         {route("r", "streaming", streamService, true),
          route("o", "streaming", streamService, false),
          route("s", "safe", plainService, true),
          route("u", "unsafe", plainService, false),
          batch}},
        {"services", {{{"name", streamService}, {"engine", {{"slots", replicaSlots}}}}, {{"name", plainService}}}},
        {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", 100000}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    this->store.rows().put({"op", "", "config"}, configuration.dump());
}

void SoakWorld::registerReplica(std::size_t replica, const std::string &state)
{
    const Replica &one = this->replicas.at(replica);
    const nlohmann::json entry{{"service", one.service},
                               {"address", one.way->address().toString()},
                               {"zone", "z" + std::to_string(replica % 3)},
                               {"version", softwareVersions.at(one.version)},
                               {"slots", replicaSlots},
                               {"state", state},
                               {"coldLeftMs", 0},
                               {"born", one.born},
                               {"seq", ++this->entriesWritten}};
    this->store.rows().put({"servers", "", one.instance}, entry.dump());
}

void SoakWorld::restartReplica(std::size_t replica, Restart restart)
{
    Replica &one = this->replicas.at(replica);
    ++one.born;
    one.crashing.clear();
    one.version = (one.version + (restart == Restart::Upgraded ? 1 : 0)) % softwareVersions.size();
    // What ran there is over: its connections are reset, and its runs end with them.
    one.way->setMode(FaultProxy::Mode::Reset);
    one.way->setMode(FaultProxy::Mode::Pass);
    this->registerReplica(replica, "ready");
}

void SoakWorld::setEventPause(std::chrono::milliseconds pause)
{
    this->eventPause = pause;
}

void SoakWorld::spoilEntry(std::size_t replica, const std::string &text)
{
    this->store.rows().put({"servers", "", this->replicas.at(replica).instance}, text);
}

} // namespace Dogwoodkeel
