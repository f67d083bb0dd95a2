#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/LoadForecast.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/RetrySchedule.h>
#include <LibDispatch/WaitingQueue.h>
#include <LibDispatch/WorkEstimate.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Decides which waiting requests are refused under overload, when they retry, and what a run is charged to its workspace. */
class OverloadControl
{
public:
    /** A request to refuse. */
    struct Refusal
    {
        PlacementRequest request;
        std::chrono::nanoseconds retryAfter{0};
    };

    /** What a placed request was charged. */
    struct Charge
    {
        WorkClass work = WorkClass::Online;
        std::uint32_t priority = 0;
        WorkspaceName workspace{};
        double weight = 1;
        /** Expected work in tokens; 0 if it was not charged. */
        std::uint32_t cost = 0;
        /** See WorkspaceShares. */
        double startTag = 0;
    };

    /** @param waiting the requests that wait; must outlive this */
    OverloadControl(const Clock &clock, WaitingQueue &waiting);

    /** @param slots total over all replicas */
    void setSlots(std::size_t slots);

    /**
     * Records the arrival of a request, or applies what was agreed if it is the retry of a refused one.
     * @return whether it is a retry
     */
    bool admit(PlacementRequest &request);

    /**
     * Decides about a request that has just been added to the waiting ones and may have been placed.
     * @param isRetry the result of admit
     * @return the delay after which it should be retried, if it has to be refused
     */
    std::optional<std::chrono::nanoseconds> refuseNew(TicketId id, bool isRetry);

    /** @return, under sustained overload, the late requests that are unlikely to get a slot before their deadline. */
    std::vector<Refusal> refuseUnplaceable();

    /** Has to be called regularly: learns from what waits, and forgets retries that do not come. */
    void tick();

    /**
     * Records that a waiting request is placed now.
     * @return what is charged when it is removed from the waiting ones
     */
    Charge recordPlacement(const PlacementRequest &request);

    /**
     * Records that a run has ended, and charges its workspace by the time for which it held its slot.
     * @param isStopped whether it was ended in favour of another request
     */
    void recordRun(const Charge &charge, PlacementVerdict verdict, std::chrono::nanoseconds holdTime, bool isStopped);

    /** @return number of requests refused because their workspace was over its share. */
    std::size_t shareRefusals() const;

private:
    /** Refuses a request that would be late in a burst, if capacity can be reserved for its retry after the burst. */
    std::optional<std::chrono::nanoseconds> refuseIfLate(const PlacementRequest &request);
    /** Refuses a request of a workspace over its share that would be late because of the workspace's own backlog. */
    std::optional<std::chrono::nanoseconds> refuseIfOverShare(const PlacementRequest &request);
    /** Logs a refusal, at most one a second, with the number of all so far. */
    void logShareRefusal(const PlacementRequest &request, std::chrono::nanoseconds wait, std::chrono::nanoseconds retryAfter);
    /** @return how long a waiting request has to wait for those that are served before it. */
    std::chrono::duration<double> expectedWait(const PlacementRequest &request, double rate) const;
    /** @return how long it has to wait for the debt and the waiting requests of its own workspace; nothing while unknown. */
    std::optional<std::chrono::duration<double>> ownWait(const PlacementRequest &request, double rate) const;
    /** @return the share of the spare capacity that the workspace of a request may reserve for retries. */
    double reservableShare(const PlacementRequest &request) const;

    const Clock &clock;
    WaitingQueue &waiting;
    LoadForecast forecast;
    RetrySchedule retries;
    WorkEstimate onlineWork;
    WorkEstimate batchWork;
    std::size_t shareRefusalCount = 0;
    SteadyTime nextShareLog{};
};

} // namespace Dogwoodkeel
