#include <Tests/Soak/Disturbances.h>

#include <algorithm>

namespace Dogwoodkeel
{

void Disturbances::add(const std::string &component, Time from, Time until)
{
    this->spans[component].emplace_back(from, until);
}

bool Disturbances::overlaps(const std::string &component, Time from, Time until) const
{
    const auto found = this->spans.find(component);
    return found != this->spans.end() && std::ranges::any_of(found->second, [&](const auto &span) {
               return span.first <= until && span.second >= from;
           });
}

} // namespace Dogwoodkeel
