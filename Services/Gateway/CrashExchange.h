#pragma once

#include <LibGateway/CrashMemory.h>
#include <Services/Gateway/PeerNetwork.h>

#include <cstdint>
#include <random>

namespace Dogwoodkeel
{

/**
 * Nodes ask each other for the crashes that they know. The notice of a crash goes once to the members that are there; a node that
 * was started later, or that no datagram reached, would hand the request to one replica after another.
 */
class CrashExchange
{
public:
    CrashExchange(const Clock &clock, PeerNetwork &peers, CrashMemory &crashes, std::uint64_t seed);

    /** Ask when it is time to; called often. */
    void tick();

    /** @return whether the datagram was for this class. */
    bool receive(const Datagram &datagram);

private:
    void answer(const Address &asker) const;

    const Clock &clock;
    PeerNetwork &peers;
    CrashMemory &crashes;
    std::minstd_rand random;
    SteadyTime nextQuestion{};
};

} // namespace Dogwoodkeel
