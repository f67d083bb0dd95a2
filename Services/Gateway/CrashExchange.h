#pragma once

#include <LibGateway/CrashMemory.h>
#include <LibGateway/PromptPartGuard.h>
#include <Services/Gateway/GatewayMetrics.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/WaitingRequests.h>

#include <cstdint>
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
                  std::uint64_t seed);

    /** Judge the connections that broke, and tell the others of the crashes. */
    void judgeBreaks();

    /** A replica has served a prompt with these parts. */
    void noteServed(const std::vector<PromptPart> &served);

    /** Ask when it is time to; called often. */
    void tick();

    /** @return whether the datagram was for this class. */
    bool receive(const Datagram &datagram);

private:
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
    std::minstd_rand random;
    SteadyTime nextQuestion{};
};

} // namespace Dogwoodkeel
