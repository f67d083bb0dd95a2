#pragma once

#include <LibGateway/CrashMemory.h>
#include <LibGateway/PromptPartGuard.h>
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
 * Nodes tell each other of crashes of replicas, and ask each other for those that they know. The notice of a crash goes once to
 * the members that are there; a node that was started later, or that no datagram reached, would hand the request, or others with
 * the same part of their prompts, to one replica after another.
 */
class CrashExchange
{
public:
    CrashExchange(const Clock &clock,
                  PeerNetwork &peers,
                  GatewayMetrics &metrics,
                  CrashMemory &crashes,
                  PromptPartGuard &parts,
                  WaitingRequests &waiting,
                  ConnectProbe &probe,
                  std::uint64_t seed);

    /**
     * Judge the connections that broke, and tell the others of the crashes. Where connections to several replicas broke at once,
     * each of these replicas is asked whether it is still there.
     */
    void classifyDisconnects();

    /** A replica has served a prompt with these parts. */
    void recordPromptServed(const std::vector<PromptPart> &served);

    /** A replica has answered a request whole. */
    void recordRequestServed(std::uint64_t fingerprint);

    /** Ask when it is time to; called often. */
    void tick();

    /** @return whether the datagram was for this class. */
    bool receive(const Datagram &datagram);

private:
    void askReplica(const BrokenRun &run);
    void takeOutcome(const EndpointName &replica, ConnectOutcome outcome);
    void takeCrash(const BrokenRun &run);
    void takeNotice(const CrashNotice &notice);
    void noteCrash(const CrashNotice &notice);
    void answer(const Address &asker) const;
    void merge(const CrashCounts &reported);

    const Clock &clock;
    PeerNetwork &peers;
    GatewayMetrics &metrics;
    CrashMemory &crashes;
    PromptPartGuard &parts;
    WaitingRequests &waiting;
    ConnectProbe &probe;
    /** By replica: runs that broke together with runs at other replicas, until it is known whether the replica is there. */
    std::map<EndpointName, std::vector<BrokenRun>> doubtful;
    std::minstd_rand random;
    SteadyTime nextQuestion{};
};

} // namespace Dogwoodkeel
