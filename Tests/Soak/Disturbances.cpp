#include <Tests/Soak/Disturbances.h>

#include <algorithm>

namespace Dogwoodkeel
{

std::string Disturbances::nameOfNode(std::size_t node)
{
    return "node-" + std::to_string(node);
}

void Disturbances::add(const std::string &component, Time from, Time until)
{
    this->spans[component].emplace_back(from, until);
}

void Disturbances::addAll(const Disturbances &other)
{
    for (const auto &[component, periods] : other.spans) {
        std::vector<std::pair<Time, Time>> &own = this->spans[component];
        own.insert(own.end(), periods.begin(), periods.end());
    }
}

bool Disturbances::overlaps(const std::string &component, Time from, Time until) const
{
    const auto found = this->spans.find(component);
    return found != this->spans.end() && std::ranges::any_of(found->second, [&](const auto &span) {
               return span.first <= until && span.second >= from;
           });
}

bool Disturbances::overlapsAny(Time from, Time until) const
{
    return std::ranges::any_of(this->spans, [this, from, until](const auto &component) {
        return this->overlaps(component.first, from, until);
    });
}

} // namespace Dogwoodkeel
