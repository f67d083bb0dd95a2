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

/** Injects faults into a fleet by a seeded schedule, and ends them all. */
class FaultSchedule
{
public:
    /** What may be hit. */
    struct Targets
    {
        std::vector<std::size_t> nodes;
        std::vector<std::size_t> engines;
        /** The processes of each failure domain; may be empty. */
        std::vector<std::vector<std::size_t>> domains;
    };

    FaultSchedule(LocalFleet &fleet, Targets targets, std::uint64_t seed);

    /**
     * Inject faults for a time, then end them.
     * @param overlap how many faults may be in force at once
     */
    void run(std::chrono::seconds duration, std::size_t overlap);

    /** @return how often each fault was injected. */
    const std::map<std::string, std::uint32_t> &injected() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    /** A fault in force. */
    struct Active
    {
        std::string name;
        Time end;
        std::function<void()> repair;
    };

    std::chrono::milliseconds between(int least, int most);
    void inject();
    void kill(const std::string &name, const std::vector<std::size_t> &among);
    void pause();
    void stopAsPlanned();
    void loseDomain();
    void breakPlatform(const std::string &name, const std::string &faults, const std::string &repaired);
    void repairUntil(Time now);
    bool isHit(const std::string &name) const;
    std::vector<std::size_t> running(const std::vector<std::size_t> &among) const;

    LocalFleet &fleet;
    Targets targets;
    std::mt19937_64 random;
    std::vector<Active> active;
    std::map<std::string, std::uint32_t> counts;
};

} // namespace Dogwoodkeel
