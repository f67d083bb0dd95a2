#include <LibMembership/LocalHealth.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

constexpr std::int64_t maxScore = 7;

} // namespace

void LocalHealth::succeeded()
{
    this->score = std::max<std::int64_t>(this->score - 1, 0);
}

void LocalHealth::failed()
{
    this->score = std::min(this->score + 1, maxScore);
}

std::int64_t LocalHealth::factor() const
{
    return this->score + 1;
}

} // namespace Dogwoodkeel
