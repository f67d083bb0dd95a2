#include <LibMembership/EntryPressure.h>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds slowDelay{50};
constexpr std::chrono::milliseconds fastDelay{10};
constexpr std::uint32_t slowCountForOverload = 5;
constexpr std::uint32_t fastCountForRecovery = 20;
constexpr std::uint32_t overloaded = 100;

} // namespace

std::uint32_t EntryPressure::observe(std::chrono::nanoseconds delay)
{
    this->consecutiveSlow = delay >= slowDelay ? this->consecutiveSlow + 1 : 0;
    this->consecutiveFast = delay <= fastDelay ? this->consecutiveFast + 1 : 0;
    if (this->consecutiveSlow >= slowCountForOverload) {
        this->pressure = overloaded;
    } else if (this->consecutiveFast >= fastCountForRecovery) {
        this->pressure = 0;
    }
    return this->pressure;
}

} // namespace Dogwoodkeel
