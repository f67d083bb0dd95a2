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

bool isStream(const ReplicaTiming &timing)
{
    return timing.perEvent.count() > 0;
}

/** @return the mean time per unit of work in microseconds; nothing if there is none. */
std::optional<double> timePerUnit(const ReplicaTiming &timing)
{
    const auto time = static_cast<double>((isStream(timing) ? timing.perEvent : timing.firstEvent).count());
    return time > 0 && timing.runs > 0 ? std::optional(time) : std::nullopt;
}

} // namespace

void ServiceSpeed::Usual::add(double value, double runs)
{
    this->count = std::min(this->count + runs, maxRuns);
    this->logarithm += std::min(runs / this->count, 1.0) * (value - this->logarithm);
}

std::optional<ServiceSpeed::Comparison> ServiceSpeed::recordRun(WorkClass work, const RunTiming &timing, double replicaTime)
{
    const std::optional<double> time = timePerUnit(timing);
    if (!time) {
        return std::nullopt;
    }
    Usual &usual = this->usual[indexOf(work, timing.events > 1)];
    const double relative = usual.count > 0 ? std::log(*time) - usual.logarithm : 0;
    // What is usual of the replica itself is taken off, or a fast replica that serves most requests would become the norm.
    usual.add(std::log(*time) - std::log(replicaTime), 1);
    usual.first = usual.first.value_or(std::log(*time));
    return Comparison{std::exp(relative), *time / std::exp(*usual.first)};
}

std::vector<double> ServiceSpeed::compare(const std::vector<ReplicaTiming> &timings)
{
    std::array<std::vector<double>, 2> logarithms;
    std::vector<std::optional<double>> times;
    for (const ReplicaTiming &timing : timings) {
        times.push_back(timePerUnit(timing));
        if (times.back()) {
            logarithms[isStream(timing) ? 1 : 0].push_back(std::log(*times.back()));
        }
    }
    for (const bool isOfStreams : {false, true}) {
        std::vector<double> &values = logarithms[isOfStreams ? 1 : 0];
        Usual &usual = this->usual[indexOf(WorkClass::Online, isOfStreams)];
        if (usual.count == 0 && !values.empty()) {
            const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
            std::ranges::nth_element(values, middle);
            usual.add(*middle, 1);
        }
    }
    std::vector<double> relative;
    for (std::size_t index = 0; index < timings.size(); ++index) {
        const Usual &usual = this->usual[indexOf(WorkClass::Online, isStream(timings[index]))];
        relative.push_back(times[index] ? *times[index] / std::exp(usual.logarithm) : 0);
    }
    return relative;
}

void ServiceSpeed::rescale(double factor)
{
    for (Usual &usual : this->usual) {
        usual.logarithm += std::log(factor);
    }
}

} // namespace Dogwoodkeel
