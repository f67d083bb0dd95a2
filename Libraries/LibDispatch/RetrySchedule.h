#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Dogwoodkeel
{

/** Callers retry after at most a third of their remaining time, whatever delay is advised. */
inline constexpr int retryAfterDivisor = 3;

/** Schedules the retries of refused requests, so that each finds a free slot and not all come at once. */
class RetrySchedule
{
public:
    /** The expected retry of a refused request. */
    struct Retry
    {
        /** When it came first. */
        SteadyTime arrived{};
        /** When the retry is due. */
        SteadyTime retryAt{};
        /** Whether capacity is reserved for it. */
        bool isReserved = false;
    };

    /**
     * Reserves capacity for a retry.
     * @param content what the request asks for
     * @param arrived when it came first
     * @param latest the last time at which the caller retries
     * @param perSecond retries for which there is capacity
     * @return when the retry is due, or nothing if all capacity until then is reserved
     */
    std::optional<SteadyTime>
    reserve(std::uint64_t content, SteadyTime arrived, SteadyTime earliest, SteadyTime latest, double perSecond);

    /** Records a refused request without reserved capacity. */
    void expect(std::uint64_t content, SteadyTime arrived, SteadyTime retryAt);

    /**
     * Removes a request's expected retry.
     * @return that retry, if there was one
     */
    std::optional<Retry> extract(std::uint64_t content);

    /** Removes the retries that are overdue. */
    void removeExpired(SteadyTime now);

private:
    std::multimap<std::uint64_t, Retry> expected;
    SteadyTime last{};
};

} // namespace Dogwoodkeel
