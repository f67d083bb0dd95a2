#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

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
        /** Whether it may be refused again. */
        bool mayRefuse = true;
        /** The workspace that sent it; empty if it belongs to none. */
        WorkspaceName workspace{};
    };

    /**
     * Reserves capacity for a retry.
     * @param content what the request asks for
     * @param arrived when it came first
     * @param latest the last time at which the caller retries
     * @param perSecond retries for which there is capacity
     * @param workspace of the request
     * @param share of the capacity that the workspace may reserve
     * @return when the retry is due, or nothing if all capacity until then is reserved
     */
    std::optional<SteadyTime> reserve(std::uint64_t content,
                                      SteadyTime arrived,
                                      SteadyTime earliest,
                                      SteadyTime latest,
                                      double perSecond,
                                      const WorkspaceName &workspace = {},
                                      double share = 1);

    /**
     * Records a refused request without reserved capacity.
     * @param mayRefuse whether its retry may be refused again
     */
    void expect(std::uint64_t content, SteadyTime arrived, SteadyTime retryAt, bool mayRefuse = true);

    /**
     * Removes a request's expected retry.
     * @return that retry, if there was one
     */
    std::optional<Retry> extract(std::uint64_t content);

    /** Removes the retries that are overdue. */
    void removeExpired(SteadyTime now);

private:
    void releaseReservation(const Retry &retry);

    /** Number of reservations by workspace. */
    std::unordered_map<WorkspaceName, std::size_t> reservations;
    std::multimap<std::uint64_t, Retry> expected;
    SteadyTime last{};
};

} // namespace Dogwoodkeel
