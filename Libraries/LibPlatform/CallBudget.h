#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <mutex>
#include <optional>

namespace Dogwoodkeel
{

/** Which of the platform's limits a call counts against. */
enum class CallKind {
    Read,
    Write,
};

/**
 * This node's share of the calls a second that the platform takes from all nodes: the total by the number of members.
 * Shared by the node's tasks, and used from any thread.
 */
class CallBudget
{
public:
    /** Of all nodes together. */
    struct Rates
    {
        double readsPerSecond = 0;
        double writesPerSecond = 0;
    };

    CallBudget(const Clock &clock, Rates rates);

    /** @param members nodes that share the platform, this one included */
    void setMembers(std::size_t members);

    /** @param rates changed by a new configuration */
    void setRates(Rates rates);

    /**
     * Take one call's place. Places are given out in order, so a call that has to wait keeps its turn.
     * @param longestWait nothing is taken if the wait would be longer
     * @return how long the call has to wait, zero if it may go at once, or nothing if too long
     */
    std::optional<std::chrono::milliseconds> take(CallKind kind, std::chrono::milliseconds longestWait);

private:
    /** Calls of one kind: when the next place is free, at an even pace. */
    struct Pace
    {
        SteadyTime next{};
    };

    const Clock &clock;
    std::mutex mutex;
    Rates rates;
    std::size_t members = 1;
    Pace reads;
    Pace writes;
};

} // namespace Dogwoodkeel
