#include <LibDispatch/ServiceSpeed.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

/** A stream with fewer events shows the prefill of its prompt rather than the pace. */
constexpr std::uint32_t minEvents = 5;
/** About this many runs count; a service's usual time changes with its prompts and its load. */
constexpr double maxRuns = 500;

std::size_t indexOf(WorkClass work, bool isStream)
{
    return (work == WorkClass::Batch ? 2 : 0) + (isStream ? 1 : 0);
}

/** @return the time per unit of work in microseconds; nothing if the run shows none. */
std::optional<double> timePerUnit(const RunTiming &timing)
{
    if (timing.isError || timing.events == 0 || (timing.events > 1 && timing.events < minEvents)) {
        return std::nullopt;
    }
    const double time = timing.events > 1 ? static_cast<double>(timing.generation.count()) / (timing.events - 1)
                                          : static_cast<double>(timing.firstEvent.count());
    return time > 0 ? std::optional(time) : std::nullopt;
}

} // namespace

void ServiceSpeed::Usual::add(double value, double runs)
{
    this->count = std::min(this->count + runs, maxRuns);
    this->logarithm += std::min(runs / this->count, 1.0) * (value - this->logarithm);
}

std::optional<double> ServiceSpeed::recordRun(WorkClass work, const RunTiming &timing, double replicaTime)
{
    const std::optional<double> time = timePerUnit(timing);
    if (!time) {
        return std::nullopt;
    }
    Usual &usual = this->usual[indexOf(work, timing.events > 1)];
    const double relative = usual.count > 0 ? std::log(*time) - usual.logarithm : 0;
    // What is usual of the replica itself is taken off, or a fast replica that serves most requests would become the norm.
    usual.add(std::log(*time) - std::log(replicaTime), 1);
    return std::exp(relative);
}

std::optional<double> ServiceSpeed::compare(const ReplicaTiming &timing)
{
    const bool isStream = timing.perEvent.count() > 0;
    const auto time = static_cast<double>((isStream ? timing.perEvent : timing.firstEvent).count());
    if (time <= 0 || timing.runs == 0) {
        return std::nullopt;
    }
    Usual &usual = this->usual[indexOf(WorkClass::Online, isStream)];
    const double relative = usual.count > 0 ? std::log(time) - usual.logarithm : 0;
    if (usual.count < maxRuns / 2) {
        usual.add(std::log(time), timing.runs);
    }
    return std::exp(relative);
}

} // namespace Dogwoodkeel
