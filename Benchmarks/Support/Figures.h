#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Prints one measured figure as a line "figure <name> <value> <unit>". */
void printFigure(const std::string &name, double value, const std::string &unit);

/** Collects measured durations and computes their percentiles. */
class Durations
{
public:
    void add(std::chrono::nanoseconds duration);

    std::size_t count() const;

    /**
     * @param share 0.5 for the median
     * @return the smallest duration that this share of all does not exceed, in milliseconds; 0 without any
     */
    double percentile(double share);

private:
    std::vector<std::chrono::nanoseconds> values;
};

} // namespace Dogwoodkeel
