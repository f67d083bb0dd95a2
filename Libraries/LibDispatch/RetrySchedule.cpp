#include <LibDispatch/RetrySchedule.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** A caller that comes so much later than it was told has given up, or found its way through another dispatcher. */
constexpr std::chrono::seconds kept{2};

} // namespace

std::optional<SteadyTime>
RetrySchedule::promise(std::uint64_t content, SteadyTime arrived, SteadyTime earliest, SteadyTime latest, double perSecond)
{
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const auto gap = std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(1 / perSecond));
    const SteadyTime comes = std::max(this->last + gap, earliest);
    if (comes > latest) {
        return std::nullopt;
    }
    this->last = comes;
    this->expected.emplace(content, Return{arrived, comes, true});
    return comes;
}

void RetrySchedule::expect(std::uint64_t content, SteadyTime arrived, SteadyTime comes)
{
    this->expected.emplace(content, Return{arrived, comes, false});
}

std::optional<RetrySchedule::Return> RetrySchedule::take(std::uint64_t content)
{
    const auto found = this->expected.find(content);
    if (found == this->expected.end()) {
        return std::nullopt;
    }
    const Return taken = found->second;
    this->expected.erase(found);
    return taken;
}

void RetrySchedule::forgetOld(SteadyTime now)
{
    std::erase_if(this->expected, [now](const auto &entry) {
        return now > entry.second.comes + kept;
    });
}

} // namespace Dogwoodkeel
