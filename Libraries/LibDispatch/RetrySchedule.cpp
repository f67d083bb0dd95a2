#include <LibDispatch/RetrySchedule.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** A caller that is overdue by more than this has given up or was served through another dispatcher. */
constexpr std::chrono::seconds retention{2};

} // namespace

std::optional<SteadyTime>
RetrySchedule::reserve(std::uint64_t content, SteadyTime arrived, SteadyTime earliest, SteadyTime latest, double perSecond)
{
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const auto gap = std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(1 / perSecond));
    const SteadyTime retryAt = std::max(this->last + gap, earliest);
    if (retryAt > latest) {
        return std::nullopt;
    }
    this->last = retryAt;
    this->expected.emplace(content, Retry{arrived, retryAt, true});
    return retryAt;
}

void RetrySchedule::expect(std::uint64_t content, SteadyTime arrived, SteadyTime retryAt)
{
    this->expected.emplace(content, Retry{arrived, retryAt, false});
}

std::optional<RetrySchedule::Retry> RetrySchedule::extract(std::uint64_t content)
{
    const auto found = this->expected.find(content);
    if (found == this->expected.end()) {
        return std::nullopt;
    }
    const Retry retry = found->second;
    this->expected.erase(found);
    return retry;
}

void RetrySchedule::removeExpired(SteadyTime now)
{
    std::erase_if(this->expected, [now](const auto &entry) {
        return now > entry.second.retryAt + retention;
    });
}

} // namespace Dogwoodkeel
