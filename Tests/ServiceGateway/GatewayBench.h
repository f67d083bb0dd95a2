#pragma once

#include <LibProxy/CallerServer.h>
#include <LibTask/TaskHost.h>
#include <Services/Gateway/Gateway.h>
#include <Tests/Fakes/RawConnection.h>
#include <Tests/Fakes/ShiftedClock.h>
#include <Tests/Fakes/SignedHeaders.h>
#include <Tests/Fakes/StandInReplica.h>
#include <Tests/Fakes/StandInStore.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** A gateway node with a stand-in store and stand-in replicas, on one event loop. */
class GatewayBench
{
public:
    explicit GatewayBench(EventLoop &loop) : loop(loop), store(loop, this->clock)
    {
        this->settings.node.vm = "vm";
        this->settings.node.failureDomain = "z";
        this->settings.listen.http = {"127.0.0.1", 0};
        this->settings.platform.address = this->store.address();
        this->settings.platform.timeout = std::chrono::milliseconds(300);
        this->settings.gateway.storeWait = std::chrono::milliseconds(200);
    }

    /** Starts a replica and registers it in the store. */
    StandInReplica &addReplica(const std::string &instance, const std::string &service, StandInReplica::Script script)
    {
        this->replicas.push_back(std::make_unique<StandInReplica>(this->loop, this->clock, std::move(script)));
        this->registerReplica(instance, service, this->replicas.back()->address(), "ready");
        return *this->replicas.back();
    }

    void
    registerReplica(const std::string &instance, const std::string &service, const Address &address, const std::string &state)
    {
        const nlohmann::json entry{{"service", service},
                                   {"address", address.toString()},
                                   {"zone", "z"},
                                   {"version", this->version},
                                   {"slots", this->slots},
                                   {"state", state},
                                   {"coldLeftMs", 0},
                                   {"born", this->born},
                                   {"seq", ++this->entries}};
        this->store.rows().put({"servers", "", instance}, entry.dump());
        this->addresses[instance] = address;
    }

    /** Stops a replica and removes its entry. The test itself has to abort the open exchanges. */
    void endReplica(const std::string &instance)
    {
        this->store.rows().remove({"servers", "", instance});
        for (const std::unique_ptr<StandInReplica> &replica : this->replicas) {
            if (this->addresses[instance] == replica->address()) {
                replica->stop();
            }
        }
    }

    void configure(const std::string &text)
    {
        this->store.rows().put({"op", "", "config"}, text);
    }

    void start()
    {
        this->gateway = std::make_unique<Gateway>(
            this->loop, this->clock, std::make_shared<const Settings>(this->settings), this->newSession);
    }

    /** Starts a second node, which reaches the store by a route of its own. */
    void startOther()
    {
        Settings others = this->settings;
        others.node.vm = "other";
        others.platform.address = this->otherStoreRoute.address();
        this->other
            = std::make_unique<Gateway>(this->loop, this->clock, std::make_shared<const Settings>(others), this->newSession);
    }

    EventLoop &loop;
    ShiftedClock clock;
    Settings settings;
    /** Draws the session numbers of the nodes. */
    std::function<SessionNumber()> newSession = &randomSession;
    StandInStore store;
    /** The start time in the entries of replicas, and the number of entries written. */
    std::uint64_t born = 1764700000000;
    std::uint64_t entries = 0;
    /** The version of replicas that are registered from now on. */
    std::string version = "v1";
    /** The number of slots of replicas that are registered from now on. */
    int slots = 2;
    StandInStore otherStoreRoute{this->loop, this->clock, this->store};
    std::vector<std::unique_ptr<StandInReplica>> replicas;
    /** The addresses of the replicas, by name. */
    std::map<std::string, Address> addresses;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<Gateway> other;
};

/** A configuration with routes for a resumable stream, a stream that runs once, an idempotent request, one that is not, two with
 * short timeouts, and batch jobs. The other timeouts are longer than any test takes, even on a busy machine. */
inline const char *const benchConfiguration = R"({"version":1,"routes":[
    {"name":"resumable","host":"h","prefix":"/r/","routeKind":"streaming","timeoutMs":30000,"fullValueMs":300,"service":"llm",
     "maxAttempts":2,"resumable":true,"gapTargetMs":300},
    {"name":"once","host":"h","prefix":"/o/","routeKind":"streaming","timeoutMs":30000,"fullValueMs":300,"service":"llm",
     "maxAttempts":1,"resumable":false,"gapTargetMs":300},
    {"name":"safe","host":"h","prefix":"/s/","routeKind":"safe","timeoutMs":30000,"fullValueMs":300,"service":"api",
     "maxAttempts":2},
    {"name":"unsafe","host":"h","prefix":"/u/","routeKind":"unsafe","timeoutMs":30000,"fullValueMs":300,"service":"api",
     "maxAttempts":2},
    {"name":"short once","host":"h","prefix":"/so/","routeKind":"streaming","timeoutMs":700,"fullValueMs":300,"service":"llm",
     "maxAttempts":1,"resumable":false,"gapTargetMs":300},
    {"name":"short unsafe","host":"h","prefix":"/su/","routeKind":"unsafe","timeoutMs":700,"fullValueMs":300,"service":"api",
     "maxAttempts":2},
    {"name":"batch","host":"h","prefix":"/b/","routeKind":"batch","fullValueMs":400,"completionTargetMs":18000,"service":"llm",
     "maxAttempts":2,"maxCount":10000,"retentionS":60}],
    "services":[{"name":"llm","engine":{"slots":2}},{"name":"api"}],
    "limits":{"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/** @return the default configuration with a pause between events of items that is longer than any test takes. */
inline nlohmann::json configurationWithLongPauses()
{
    nlohmann::json configuration = nlohmann::json::parse(benchConfiguration);
    configuration["routes"].back()["gapTargetMs"] = 10000;
    return configuration;
}

} // namespace Dogwoodkeel
