#pragma once

#include <LibBase/Clock.h>
#include <LibWorkspace/QuotaBounds.h>

#include <chrono>
#include <optional>

namespace Dogwoodkeel
{

/**
 * A token bucket. In any period t it grants at most capacity + rate x t requests, also in parts of a window. So a counter that
 * takes over and starts with an empty bucket keeps the bound of the window together with its predecessor.
 */
class QuotaBucket
{
public:
    /** @param level tokens at the start, limited to the capacity */
    QuotaBucket(SteadyTime now, const RequestQuota &quota, double margin, double level);

    /** Changes the quota; tokens above the new capacity are dropped. */
    void setQuota(SteadyTime now, const RequestQuota &quota, double margin);

    /** @param share fraction of the rate and of the burst that is granted here from now on */
    void setShare(SteadyTime now, double share);

    /** Adds tokens, up to the capacity. */
    void add(SteadyTime now, double tokens);

    /** @return nothing if a request is granted, else the time until a token is available, after those refused before. */
    std::optional<std::chrono::milliseconds> tryAcquire(SteadyTime now);

    /** @return number of requests that it may grant at once. */
    double level(SteadyTime now) const;

    /** @return whether it holds its full capacity, so that a new bucket would be in the same state. */
    bool isFull(SteadyTime now) const;

    const RequestQuota &quota() const;

private:
    void fill(SteadyTime now);
    double capacity() const;

    RequestQuota limit;
    double margin;
    double share = 1;
    double tokens;
    SteadyTime filled;
    /** Latest retry time that was given to a refused request. */
    SteadyTime retryTimesGivenUntil;
};

} // namespace Dogwoodkeel
