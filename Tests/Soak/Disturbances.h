#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Records the periods in which a node or the store was disturbed by faults. Guarantees with a time bound don't apply then. */
class Disturbances
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Records that a component, a node or the store, was disturbed in a period. */
    void add(const std::string &component, Time from, Time until);

    /** The name of the store as a component. */
    static constexpr const char *store = "store";

    /** @return the name of a node as a component. */
    static std::string nameOfNode(std::size_t node);

    /** Adds the records of another object. */
    void addAll(const Disturbances &other);

    /** @return whether the component was disturbed at any time in the period. */
    bool overlaps(const std::string &component, Time from, Time until) const;

    /** @return whether any component was disturbed at any time in the period. */
    bool overlapsAny(Time from, Time until) const;

private:
    std::map<std::string, std::vector<std::pair<Time, Time>>> spans;
};

} // namespace Dogwoodkeel
