#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <mutex>
#include <optional>

namespace Dogwoodkeel
{

/** The platform limit that a call counts against. */
enum class CallKind {
    Read,
    Write,
};

/**
 * Rate limiter for this node's share of the calls per second that the platform accepts from all nodes: the total divided by the
 * number of members. Thread-safe; the node's tasks share one instance.
 */
class CallBudget
{
public:
    /** Limits for all nodes together. */
    struct Rates
    {
        double readsPerSecond = 0;
        double writesPerSecond = 0;
    };

    CallBudget(const Clock &clock, Rates rates);

    /** @param members nodes that share the platform, this one included */
    void setMembers(std::size_t members);

    /** @param rates limits of a new configuration */
    void setRates(Rates rates);

    /**
     * Reserves the next start time for one call. Start times are assigned in order, so a waiting call keeps its position.
     * @param maxWait nothing is reserved if the wait would be longer
     * @return how long the call has to wait, zero if it may start immediately; nothing if the wait would be too long
     */
    std::optional<std::chrono::milliseconds> acquire(CallKind kind, std::chrono::milliseconds maxWait);

private:
    /** Start time of the next call of one kind, at evenly spaced intervals. */
    struct Pace
    {
        SteadyTime nextStart{};
    };

    const Clock &clock;
    std::mutex mutex;
    Rates rates;
    std::size_t members = 1;
    Pace reads;
    Pace writes;
};

} // namespace Dogwoodkeel
