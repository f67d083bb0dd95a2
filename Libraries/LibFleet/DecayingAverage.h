#pragma once

#include <LibBase/Clock.h>

#include <chrono>

namespace Dogwoodkeel
{

/**
 * Average of observations, weighted exponentially by time: the weight of each halves after every half-life. The result
 * does not depend on the rate of observations, be it one a minute or a thousand a second.
 */
class DecayingAverage
{
public:
    /** Adds an observation. @param halfLife must be the same in every call */
    void observe(double value, SteadyTime now, std::chrono::milliseconds halfLife);

    /** @return the average, or the fallback before the first observation */
    double valueOr(double fallback) const;

    /** @return the summed weight of all observations, decayed to now; each weighs 1 when it is made */
    double weight(SteadyTime now, std::chrono::milliseconds halfLife) const;

private:
    double sum = 0;
    double count = 0;
    SteadyTime updated{};
};

/**
 * @return the weight that an observation of this age has left: 0.5 after one half-life, 1 if the age is zero or
 * negative
 */
double decayFactor(std::chrono::nanoseconds age, std::chrono::milliseconds halfLife);

} // namespace Dogwoodkeel
