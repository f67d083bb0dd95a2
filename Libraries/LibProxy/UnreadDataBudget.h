#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/** Limits for response data that callers have not read yet. */
struct UnreadDataLimits
{
    /** Unread data of one caller from which on no more data is produced for it; resumed at half of it. */
    std::size_t pauseBytes = 262144;
    /** How long a stream may be paused for its caller. */
    std::chrono::milliseconds maxPause{1000};
    /** Maximum unread data of all callers. */
    std::size_t totalBytes = 134217728;
};

/** Decides which callers are too slow, from the size of their unread data. Does no input or output itself. */
class UnreadDataBudget
{
public:
    /** Number that identifies the connection of a caller. */
    using CallerNumber = std::uint64_t;

    enum class Action {
        /** Produce no more data for the caller. */
        Pause,
        Resume,
        /** Disconnect the caller, for which a stream was paused too long. */
        DisconnectPaused,
        /** Disconnect the caller, as all callers together have too much unread data. */
        DisconnectLargest,
    };

    struct Decision
    {
        CallerNumber caller = 0;
        Action action = Action::Pause;
        /** Unread data of the caller when it was decided. */
        std::size_t bytes = 0;
    };

    UnreadDataBudget(const Clock &clock, const UnreadDataLimits &limits);

    void setLimits(const UnreadDataLimits &limits);

    /**
     * Records the unread data of a caller.
     * @param isStreaming whether a stream to the caller is in progress. Only such a caller is disconnected for a long pause,
     *        because nothing waits for one that reads the rest of a response.
     * @return whether decide() has to be called
     */
    bool record(CallerNumber caller, std::size_t bytes, bool isStreaming);

    /** Forgets a caller whose connection is closed. */
    void remove(CallerNumber caller);

    /** @return what to do now, in this order. Callers that are to be disconnected are forgotten. */
    std::vector<Decision> decide();

    /** @return the unread data of all callers in bytes. */
    std::size_t total() const;

    /** @return the number of callers for which no data is produced at present. */
    std::size_t pausedCallers() const;

private:
    struct Caller
    {
        std::size_t bytes = 0;
        /** Since when the caller has had unread data without interruption. */
        SteadyTime unreadSince{};
        SteadyTime pausedSince{};
        bool isPaused = false;
        bool isStreaming = false;
    };

    void decidePause(CallerNumber number, std::vector<Decision> &decisions);
    CallerNumber findLargest() const;
    void disconnect(CallerNumber number, Action action, std::vector<Decision> &decisions);

    const Clock &clock;
    UnreadDataLimits limits;
    /** Callers with unread data and paused ones. */
    std::unordered_map<CallerNumber, Caller> callers;
    /** Callers that may have to be paused or resumed. */
    std::set<CallerNumber> changed;
    std::set<CallerNumber> paused;
    std::size_t totalBytes = 0;
};

} // namespace Dogwoodkeel
