#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/FirstEventEstimate.h>
#include <LibDispatch/ItemEstimate.h>
#include <LibGateway/AnswerBudget.h>
#include <LibGateway/CrashHistory.h>
#include <LibGateway/PlannedStop.h>
#include <LibGateway/PromptPartBlocklist.h>
#include <LibPlatform/StoreClock.h>
#include <LibProxy/OutboundPool.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/AnswerEndCheck.h>
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

/** Objects and callbacks that the classes of a gateway node share to handle requests. All run on one event loop. */
struct GatewayContext
{
    EventLoop &loop;
    const Clock &clock;
    /** Clock of the store, from which the ages of jobs are computed. */
    const StoreClock &storeClock;
    /** Decides which requests are still served while this node stops. */
    PlannedStop &plannedStop;
    /** Connections to replicas. */
    OutboundPool &replicaConnections;
    PlacementClient &placements;
    QuotaService &quotas;
    ReplicaFollower &replicaList;
    GatewayMetrics &metrics;
    CrashHistory &crashHistory;
    StreamOriginExchange &streamOrigins;
    PromptPartBlocklist &promptPartBlocklist;
    WaitingRequests &waitingRequests;
    AnswerEndCheck &answerEnds;
    /** Records that the connection of a running request was lost. If its replica crashed, all nodes are notified. */
    std::function<void(const InterruptedRun &)> recordDisconnect;
    /** Records that a replica has served a prompt with these parts. */
    std::function<void(const std::vector<PromptPart> &)> recordPromptServed;
    /** Records that a replica has answered the request with this fingerprint completely. */
    std::function<void(std::uint64_t)> recordRequestServed;
    std::minstd_rand &random;
    /** Maximum size of an answer that is held until it is complete. */
    std::size_t answerBytes;
    /** Bounds the memory of all of them. */
    AnswerBudget &answerBudget;
    /** Estimates by service, learned from this node's requests. */
    std::map<ServiceName, FirstEventEstimate> firstEventEstimates{};
    std::map<ServiceName, ItemEstimate> itemEstimates{};
};

} // namespace Dogwoodkeel
