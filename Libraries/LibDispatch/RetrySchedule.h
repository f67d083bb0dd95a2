#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Dogwoodkeel
{

/** Callers come back after at most a third of the time that they have left, whatever they are told. */
inline constexpr int retryAfterDivisor = 3;

/** When requests that were sent away come back, so that each comes back to a place of its own and not all at once. */
class RetrySchedule
{
public:
    /** A request that was sent away. */
    struct Retry
    {
        /** When it came first. */
        SteadyTime arrived{};
        /** When it was told to come. */
        SteadyTime retryAt{};
        /** Whether a place is set aside for it. */
        bool isReserved = false;
    };

    /**
     * Set a place aside.
     * @param content what the request asks for
     * @param arrived when it came first
     * @param latest after which it does not come any more
     * @param perSecond returns for which there is room
     * @return when it is to come, or nothing if all room until then is given away
     */
    std::optional<SteadyTime>
    reserve(std::uint64_t content, SteadyTime arrived, SteadyTime earliest, SteadyTime latest, double perSecond);

    /** A request was sent away without a place set aside. */
    void expect(std::uint64_t content, SteadyTime arrived, SteadyTime retryAt);

    /** A request comes. @return what it was told, if it was sent away before */
    std::optional<Retry> extract(std::uint64_t content);

    /** Drop the promises that nobody has come back for. */
    void removeExpired(SteadyTime now);

private:
    std::multimap<std::uint64_t, Retry> expected;
    SteadyTime lastReserved{};
};

} // namespace Dogwoodkeel
