#include <LibDispatch/RunMeasurement.h>

#include <chrono>

namespace Dogwoodkeel
{

namespace
{

std::chrono::microseconds elapsed(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(to - from);
}

} // namespace

void RunMeasurement::start(SteadyTime now)
{
    *this = RunMeasurement();
    this->sent = now;
}

void RunMeasurement::recordHead(std::uint32_t pace, bool isError)
{
    this->measured.statedPace = pace;
    this->measured.isError = isError;
}

void RunMeasurement::recordEvents(std::uint32_t count, SteadyTime now)
{
    if (count == 0) {
        return;
    }
    if (!this->firstEvent) {
        this->firstEvent = now;
        this->measured.firstEvent = elapsed(this->sent, now);
        // Events that arrive together with the first one took no time that is measured.
        count = 1;
    }
    this->measured.events += count;
    this->measured.generation = elapsed(*this->firstEvent, now);
}

void RunMeasurement::recordWholeAnswer(SteadyTime now)
{
    this->measured.firstEvent = elapsed(this->sent, now);
    this->measured.events = 1;
}

RunTiming RunMeasurement::timing() const
{
    return this->measured;
}

} // namespace Dogwoodkeel
