#include <LibMembership/EntryPressure.h>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds slow{50};
constexpr std::chrono::milliseconds quick{10};
constexpr std::uint32_t slowNeeded = 5;
constexpr std::uint32_t quickNeeded = 20;
constexpr std::uint32_t overloaded = 100;

} // namespace

std::uint32_t EntryPressure::observe(std::chrono::nanoseconds delay)
{
    this->slowInARow = delay >= slow ? this->slowInARow + 1 : 0;
    this->quickInARow = delay <= quick ? this->quickInARow + 1 : 0;
    if (this->slowInARow >= slowNeeded) {
        this->pressure = overloaded;
    } else if (this->quickInARow >= quickNeeded) {
        this->pressure = 0;
    }
    return this->pressure;
}

} // namespace Dogwoodkeel
