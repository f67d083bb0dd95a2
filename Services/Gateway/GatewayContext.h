#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/FirstEventEstimate.h>
#include <LibDispatch/ItemEstimate.h>
#include <LibGateway/CrashMemory.h>
#include <LibGateway/PromptPartGuard.h>
#include <LibPlatform/StoreClock.h>
#include <LibProxy/OutboundPool.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/GatewayMetrics.h>
#include <Services/Gateway/PlacementClient.h>
#include <Services/Gateway/QuotaService.h>
#include <Services/Gateway/ReplicaFollower.h>
#include <Services/Gateway/StreamOriginExchange.h>
#include <Services/Gateway/WaitingRequests.h>

#include <functional>
#include <map>
#include <random>

namespace Dogwoodkeel
{

/** What the parts of a gateway node that handle requests share. All live on one event loop. */
struct GatewayContext
{
    EventLoop &loop;
    const Clock &clock;
    /** By it the ages of jobs are told. */
    const StoreClock &storeClock;
    /** Connections to replicas. */
    OutboundPool &replicaConnections;
    PlacementClient &placements;
    QuotaService &quotas;
    ReplicaFollower &replicaList;
    GatewayMetrics &metrics;
    CrashMemory &crashHistory;
    StreamOriginExchange &origins;
    PromptPartGuard &promptPartBlocklist;
    WaitingRequests &waiting;
    /** A connection broke while a request ran on it: if its replica crashed, all nodes are told. */
    std::function<void(const BrokenRun &)> recordDisconnect;
    /** A replica has served a prompt with these parts. */
    std::function<void(const std::vector<PromptPart> &)> recordPromptServed;
    /** A replica has answered the request with this fingerprint whole. */
    std::function<void(std::uint64_t)> recordRequestServed;
    std::minstd_rand &random;
    /** By service, learned from this node's requests. */
    std::map<ServiceName, FirstEventEstimate> firstEvents{};
    std::map<ServiceName, ItemEstimate> itemEstimates{};
};

} // namespace Dogwoodkeel
