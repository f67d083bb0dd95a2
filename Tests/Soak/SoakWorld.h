#pragma once

#include <LibBase/SystemClock.h>
#include <LibProxy/CallerServer.h>
#include <LibTask/EventLoop.h>
#include <Tests/Fakes/StandInStore.h>
#include <Tests/Soak/CrashRecord.h>
#include <Tests/Soak/FaultProxy.h>
#include <Tests/Soak/SoakRecord.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** How far apart the events of a replica are that isn't slow. */
inline constexpr std::chrono::milliseconds usualEventPause{15};

/** Versions of the replicas' software that serve side by side. */
inline constexpr std::array<std::string_view, 2> softwareVersions{"v1", "v2"};

/** What begins so is a request that crashes the replica that runs it. */
inline constexpr std::string_view crashMark = "crash";

/** @return the output that a replica of a version generates for a request with this body: its events in order. */
std::vector<std::string> outputOf(const std::string &body, std::string_view version);

/** What is outside the nodes: the platform's store and the replicas, each behind a proxy. Lives on one event loop. */
class SoakWorld
{
public:
    /** @param nodes as many ways to the store are made */
    SoakWorld(EventLoop &loop, SoakRecord &record, CrashRecord &crashes, std::size_t nodes, std::size_t replicas);

    /** @return the way of a node to the store. */
    FaultProxy &storeWay(std::size_t node);
    /** @return the way of all nodes to a replica. */
    FaultProxy &replicaWay(std::size_t replica);
    StandInStore &platform();
    std::size_t replicaCount() const;

    /** Bring a newer version of the configuration into force. */
    void configure();

    /** Tell the nodes that a replica is there, or leaves. */
    void registerReplica(std::size_t replica, const std::string &state);

    /** How a replica starts again. */
    enum class Restart {
        AsItWas,
        /** With the other version of its software. */
        Upgraded,
    };

    /** A replica crashes, and is there again under its name at once. */
    void restartReplica(std::size_t replica, Restart restart);

    /** Generate an event each so long. */
    void setEventPause(std::chrono::milliseconds pause);

    /** Another program writes over a replica's entry. */
    void spoilEntry(std::size_t replica, const std::string &text);

private:
    struct Replica
    {
        std::string instance;
        std::string service;
        /** Which of the versions its software has. */
        std::size_t version = 0;
        /** Its start, in milliseconds of the time of day. */
        std::uint64_t born = 1764700000000;
        /** What it runs that crashes replicas. */
        std::set<std::string> crashing;
        bool isGone = false;
        std::unique_ptr<CallerServer> server;
        std::unique_ptr<FaultProxy> way;
    };

    void addReplica(const std::string &service);
    void runCrashing(std::size_t replica, const std::string &content);
    void endReplica(std::size_t replica);
    void serve(std::size_t replica, const std::shared_ptr<CallerExchange> &exchange);
    void generate(const std::shared_ptr<CallerExchange> &exchange, const std::vector<std::string> &output, std::size_t next);

    EventLoop &loop;
    SoakRecord &record;
    CrashRecord &crashes;
    SystemClock clock;
    StandInStore store;
    std::vector<std::unique_ptr<FaultProxy>> storeWays;
    std::vector<Replica> replicas;
    std::chrono::milliseconds eventPause;
    int version = 0;
    std::uint64_t entriesWritten = 0;
};

} // namespace Dogwoodkeel
