#pragma once

#include <Benchmarks/Support/LocalFleet.h>

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Injects faults into a fleet by a seeded random schedule, and repairs all of them at the end. */
class FaultSchedule
{
public:
    /** The processes that faults may affect, by their index in the fleet. */
    struct Targets
    {
        std::vector<std::size_t> nodes;
        std::vector<std::size_t> engines;
        /** The processes of each failure domain; may be empty. */
        std::vector<std::vector<std::size_t>> domains;
    };

    FaultSchedule(LocalFleet &fleet, Targets targets, std::uint64_t seed);

    /**
     * Injects faults for a time, then repairs them.
     * @param overlap max number of faults that are active at once
     */
    void run(std::chrono::seconds duration, std::size_t overlap);

    /** @return how often each fault was injected. */
    const std::map<std::string, std::uint32_t> &injected() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    /** A fault that has not been repaired yet. */
    struct Active
    {
        std::string name;
        Time end;
        std::function<void()> repair;
        /** The processes it affects; no second fault is injected into them meanwhile. */
        std::vector<std::size_t> affected;
    };

    std::chrono::milliseconds between(int min, int max);
    void inject();
    void kill(const std::string &name, const std::vector<std::size_t> &among);
    void pause();
    void stopGracefully();
    void loseDomain();
    void breakPlatform(const std::string &name, const std::string &faults, const std::string &repaired);
    void repairUntil(Time now);
    bool isActive(const std::string &name) const;
    std::vector<std::size_t> running(const std::vector<std::size_t> &among) const;

    LocalFleet &fleet;
    Targets targets;
    std::mt19937_64 random;
    std::vector<Active> active;
    std::map<std::string, std::uint32_t> counts;
};

} // namespace Dogwoodkeel
