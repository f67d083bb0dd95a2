#include <Benchmarks/Support/Figures.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace Dogwoodkeel
{

void printFigure(const std::string &name, double value, const std::string &unit)
{
    std::printf("figure %s %.6g %s\n", name.c_str(), value, unit.c_str());
    std::fflush(stdout);
}

void Durations::add(std::chrono::nanoseconds duration)
{
    this->values.push_back(duration);
}

std::size_t Durations::count() const
{
    return this->values.size();
}

double Durations::percentile(double share)
{
    if (this->values.empty()) {
        return 0;
    }
    std::ranges::sort(this->values);
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(this->values.size())));
    const std::chrono::duration<double, std::milli> value
        = this->values[std::clamp<std::size_t>(rank, 1, this->values.size()) - 1];
    return value.count();
}

} // namespace Dogwoodkeel
