#include <Tests/Soak/Disturbances.h>

#include <algorithm>

namespace Dogwoodkeel
{

void Disturbances::note(const std::string &party, Time from, Time until)
{
    this->spans[party].emplace_back(from, until);
}

bool Disturbances::isIn(const std::string &party, Time from, Time until) const
{
    const auto found = this->spans.find(party);
    return found != this->spans.end() && std::ranges::any_of(found->second, [&](const auto &span) {
               return span.first <= until && span.second >= from;
           });
}

} // namespace Dogwoodkeel
