#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Estimates with which share of the fleet this node is in contact, by probes to nodes chosen at random. The cost does not grow
 * with the fleet. Of two halves of a fleet that are cut off from each other, each finds its own share within half a second, long
 * before the members of the other one are held dead.
 */
class ReachabilityEstimator
{
public:
    /** How often probes are sent. */
    enum class Pace {
        Normal,
        /** Something depends on the share now. */
        Fast,
    };

    /** @param probe sends a datagram that its receiver answers */
    ReachabilityEstimator(const Clock &clock, std::uint64_t seed, std::function<void(const Address &)> probe);

    /** Take the other nodes of the fleet; those that were lost of late count among them. */
    void setOthers(std::vector<Address> others);

    /** Any datagram of another node came. */
    void receive(const Address &from);

    /** Send the probes that are due. Until the share is known they are sent at the fast pace. */
    void tick(Pace pace);

    /** @return the share of the fleet, this node included; nothing until enough probes have had time to be answered. */
    std::optional<double> share() const;

private:
    /** A probe that was answered, or has had its time. */
    struct Judged
    {
        SteadyTime asked{};
        bool isAnswered = false;
    };

    void expire();
    void sendProbes(std::size_t count);

    const Clock &clock;
    std::minstd_rand random;
    std::function<void(const Address &)> probe;
    std::vector<Address> others;
    /** When those were asked that have not answered, nor had their time. */
    std::multimap<Address, SteadyTime> pending;
    /** When those were asked that have answered. They are judged together with those that were asked at the same time. */
    std::deque<SteadyTime> answered;
    std::deque<Judged> judged;
    SteadyTime nextProbes{};
};

} // namespace Dogwoodkeel
