#pragma once

#include <LibBase/Clock.h>

#include <chrono>

namespace Dogwoodkeel
{

/**
 * Average of observations in which each counts half after every half-life (exponentially weighted by time), so that it
 * means the same at one request a minute and at a thousand a second.
 */
class DecayingAverage
{
public:
    /** Count an observation. @param halfLife must be the same in every call */
    void observe(double value, SteadyTime now, std::chrono::milliseconds halfLife);

    /** @return the average, or the fallback before the first observation. */
    double valueOr(double fallback) const;

    /**
     * @return how many observations the average rests on, decayed to now; each counted 1 when it was made
     */
    double weight(SteadyTime now, std::chrono::milliseconds halfLife) const;

private:
    double sum = 0;
    double count = 0;
    SteadyTime updated{};
};

/** @return what is left of 1 after some time: 0.5 after one half-life, 1 for a time in the future. */
double remainingShare(std::chrono::nanoseconds age, std::chrono::milliseconds halfLife);

} // namespace Dogwoodkeel
