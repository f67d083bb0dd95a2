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
 * Estimates which share of the fleet this node can reach, by probing randomly selected nodes. The cost does not grow with the
 * size of the fleet. If the fleet is partitioned, each side finds its share within half a second, long before it declares the
 * members of the other side dead.
 */
class ReachabilityEstimator
{
public:
    /** How often probes are sent. */
    enum class Pace {
        Normal,
        /** A decision depends on the share now. */
        Fast,
    };

    /** @param probe sends a datagram that the receiver answers */
    ReachabilityEstimator(const Clock &clock, std::uint64_t seed, std::function<void(const Address &)> probe);

    /** Sets the other nodes of the fleet, including those that were lost recently. */
    void setOthers(std::vector<Address> others);

    /** Records that a datagram arrived from another node; any datagram counts as an answer. */
    void receive(const Address &from);

    /** Sends the probes that are due. Until the share is known they are sent at the fast pace. */
    void tick(Pace pace);

    /** @return the reachable share of the fleet, this node included; nothing until the timeout of enough probes has passed. */
    std::optional<double> share() const;

private:
    /** A probe whose timeout has passed, answered or not. */
    struct CompletedProbe
    {
        SteadyTime sentAt{};
        bool isAnswered = false;
    };

    void expire();
    void sendProbes(std::size_t count);

    const Clock &clock;
    std::minstd_rand random;
    std::function<void(const Address &)> probe;
    std::vector<Address> others;
    /** Send times of the unanswered probes that are still within the timeout, by target. */
    std::multimap<Address, SteadyTime> pending;
    /** Send times of the answered probes. They count only together with the unanswered ones that were sent at the same time. */
    std::deque<SteadyTime> answered;
    std::deque<CompletedProbe> completed;
    SteadyTime nextProbes{};
};

} // namespace Dogwoodkeel
