#include <LibBatch/LeaseTable.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace Dogwoodkeel
{

void LeaseTable::add(const ItemSpan &span, SessionNumber runner, SteadyTime end)
{
    this->firstEnd = std::min(this->firstEnd, end);
    // NOTE: Ranges are never merged. A range is renewed as a whole when its runner reports a part of it, which is correct only
    // while the range was leased in a single answer.
    this->ranges.emplace(span.first, Range{span.count, runner, end});
}

void LeaseTable::renew(const ItemSpan &span, SessionNumber runner, SteadyTime end)
{
    auto range = this->ranges.upper_bound(span.first);
    if (range != this->ranges.begin()) {
        --range;
    }
    for (; range != this->ranges.end() && range->first < span.first + span.count; ++range) {
        const bool isReported = range->first + range->second.count > span.first;
        if (isReported && range->second.runner == runner) {
            range->second.end = end;
        }
    }
}

std::map<std::uint32_t, LeaseTable::Range>::const_iterator LeaseTable::find(std::uint32_t index) const
{
    auto after = this->ranges.upper_bound(index);
    if (after == this->ranges.begin()) {
        return this->ranges.end();
    }
    --after;
    return index < after->first + after->second.count ? after : this->ranges.end();
}

void LeaseTable::remove(std::uint32_t index)
{
    const auto found = this->find(index);
    if (found == this->ranges.end()) {
        return;
    }
    const std::uint32_t first = found->first;
    const Range range = found->second;
    this->ranges.erase(found);
    if (index > first) {
        this->ranges.emplace(first, Range{index - first, range.runner, range.end});
    }
    const std::uint32_t after = first + range.count - index - 1;
    if (after > 0) {
        this->ranges.emplace(index + 1, Range{after, range.runner, range.end});
    }
}

bool LeaseTable::isHeldBy(std::uint32_t index, SessionNumber runner) const
{
    const auto found = this->find(index);
    return found != this->ranges.end() && found->second.runner == runner;
}

std::vector<ItemSpan> LeaseTable::removeExpired(SteadyTime now)
{
    std::vector<ItemSpan> spans;
    if (now < this->firstEnd) {
        return spans;
    }
    this->firstEnd = SteadyTime::max();
    std::erase_if(this->ranges, [this, &spans, now](const auto &entry) {
        if (entry.second.end > now) {
            this->firstEnd = std::min(this->firstEnd, entry.second.end);
            return false;
        }
        spans.push_back({entry.first, entry.second.count});
        return true;
    });
    return spans;
}

std::vector<ItemSpan> LeaseTable::removeRunner(SessionNumber runner)
{
    std::vector<ItemSpan> spans;
    std::erase_if(this->ranges, [&spans, runner](const auto &entry) {
        if (entry.second.runner != runner) {
            return false;
        }
        spans.push_back({entry.first, entry.second.count});
        return true;
    });
    return spans;
}

std::vector<SessionNumber> LeaseTable::runners() const
{
    std::set<SessionNumber> sessions;
    for (const auto &[first, range] : this->ranges) {
        sessions.insert(range.runner);
    }
    return {sessions.begin(), sessions.end()};
}

bool LeaseTable::isEmpty() const
{
    return this->ranges.empty();
}

void LeaseTable::clear()
{
    this->ranges.clear();
}

} // namespace Dogwoodkeel
