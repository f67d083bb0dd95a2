#include <LibFleet/DecayingAverage.h>

#include <cmath>

namespace Dogwoodkeel
{

double decayFactor(std::chrono::nanoseconds age, std::chrono::milliseconds halfLife)
{
    if (age.count() <= 0) {
        return 1;
    }
    const double halfLives = std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife);
    return std::exp2(-halfLives);
}

void DecayingAverage::observe(double value, SteadyTime now, std::chrono::milliseconds halfLife)
{
    const double factor = decayFactor(now - this->updated, halfLife);
    this->sum = this->sum * factor + value;
    this->count = this->count * factor + 1;
    this->updated = now;
}

double DecayingAverage::valueOr(double fallback) const
{
    return this->count > 0 ? this->sum / this->count : fallback;
}

double DecayingAverage::weight(SteadyTime now, std::chrono::milliseconds halfLife) const
{
    return this->count * decayFactor(now - this->updated, halfLife);
}

} // namespace Dogwoodkeel
