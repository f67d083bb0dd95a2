#pragma once

#include <LibGateway/CrashHistory.h>
#include <LibGateway/PromptPartBlocklist.h>
#include <LibProxy/ConnectProbe.h>
#include <Services/Gateway/GatewayMetrics.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/WaitingRequests.h>

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Exchanges crashes of replicas between nodes.
 *
 * A crash is published once, to the members present. Nodes also query each other for the crashes that they know: otherwise a node
 * that started later, or missed the datagram, would send the request, or others with the same part of their prompts, to one
 * replica after another.
 */
class CrashExchange
{
public:
    CrashExchange(const Clock &clock,
                  PeerNetwork &peers,
                  GatewayMetrics &metrics,
                  CrashHistory &crashes,
                  PromptPartBlocklist &blocklist,
                  WaitingRequests &waiting,
                  ConnectProbe &probe,
                  std::uint64_t seed);

    /**
     * Classifies the lost connections, and notifies the other nodes of the crashes. If connections to several replicas were lost
     * at once, each of these replicas is probed to find out whether it still runs.
     */
    void classifyDisconnects();

    /** Records that a replica has served a prompt with these parts. */
    void recordPromptServed(const std::vector<PromptPart> &served);

    /** Records that a replica has answered a request completely. */
    void recordRequestServed(std::uint64_t fingerprint);

    /** Queries a member for its crashes once per interval; must be called often. */
    void tick();

    /** Handles a datagram. @return whether it was for this class */
    bool receive(const Datagram &datagram);

private:
    void probeReplica(const InterruptedRun &run);
    void handleProbeOutcome(const EndpointName &replica, ConnectOutcome outcome);
    void publishCrash(const InterruptedRun &run);
    void handleNotice(const CrashNotice &notice);
    void recordPartCrash(const CrashNotice &notice);
    void answerQuery(const Address &recipient) const;
    void merge(const CrashCounts &reported);

    const Clock &clock;
    PeerNetwork &peers;
    GatewayMetrics &metrics;
    CrashHistory &crashes;
    PromptPartBlocklist &blocklist;
    WaitingRequests &waiting;
    ConnectProbe &probe;
    /** By replica: runs interrupted together with runs at other replicas, until it is known whether the replica still runs. */
    std::map<EndpointName, std::vector<InterruptedRun>> uncertainRuns;
    std::minstd_rand random;
    SteadyTime nextQuery{};
};

} // namespace Dogwoodkeel
