#include <LibDispatch/RetrySchedule.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

/** A caller that is overdue by more than this has given up or was served through another dispatcher. */
constexpr std::chrono::seconds retention{2};

} // namespace

std::optional<SteadyTime> RetrySchedule::reserve(std::uint64_t content,
                                                 SteadyTime arrived,
                                                 SteadyTime earliest,
                                                 SteadyTime latest,
                                                 double perSecond,
                                                 const WorkspaceName &workspace,
                                                 double share)
{
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const auto gap = std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(1 / perSecond));
    const SteadyTime retryAt = std::max(this->last + gap, earliest);
    if (retryAt > latest) {
        return std::nullopt;
    }
    // One reservation is always allowed, or a small workspace would have none while there is little capacity.
    const double window = std::chrono::duration<double>(latest - earliest).count();
    const auto reserved = this->reservations.find(workspace);
    const std::size_t held = reserved != this->reservations.end() ? reserved->second : 0;
    if (share < 1 && held > 0 && static_cast<double>(held) >= perSecond * window * share) {
        return std::nullopt;
    }
    ++this->reservations[workspace];
    this->last = retryAt;
    this->expected.emplace(content, Retry{arrived, retryAt, true, false, workspace});
    return retryAt;
}

void RetrySchedule::expect(std::uint64_t content, SteadyTime arrived, SteadyTime retryAt, bool mayRefuse)
{
    this->expected.emplace(content, Retry{arrived, retryAt, false, mayRefuse, {}});
}

std::optional<RetrySchedule::Retry> RetrySchedule::extract(std::uint64_t content)
{
    const auto found = this->expected.find(content);
    if (found == this->expected.end()) {
        return std::nullopt;
    }
    const Retry retry = found->second;
    this->expected.erase(found);
    this->releaseReservation(retry);
    return retry;
}

void RetrySchedule::removeExpired(SteadyTime now)
{
    std::erase_if(this->expected, [this, now](const auto &entry) {
        const bool isExpired = now > entry.second.retryAt + retention;
        if (isExpired) {
            this->releaseReservation(entry.second);
        }
        return isExpired;
    });
}

void RetrySchedule::releaseReservation(const Retry &retry)
{
    const auto held = this->reservations.find(retry.workspace);
    if (retry.isReserved && held != this->reservations.end() && --held->second == 0) {
        this->reservations.erase(held);
    }
}

} // namespace Dogwoodkeel
