#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Dogwoodkeel
{

/** Which runner holds which items of one job, and until when. Kept by range: lanes take items in runs. */
class LeaseTable
{
public:
    /** Lease items that nobody holds. */
    void add(const ItemSpan &span, SessionNumber runner, SteadyTime end);

    /**
     * Extend what a runner has told that it holds. Nothing else of its leases: items whose handing out was lost on the way
     * would stay leased to a runner that does not know of them.
     */
    void renew(const ItemSpan &span, SessionNumber runner, SteadyTime end);

    /** An item is finished or given back. */
    void remove(std::uint32_t index);

    /** @return whether a runner holds an item. */
    bool isHeldBy(std::uint32_t index, SessionNumber runner) const;

    /** Take everything back from runners whose lease has ended. @return what they held */
    std::vector<ItemSpan> removeExpired(SteadyTime now);

    /** Take everything back from a runner. @return what it held */
    std::vector<ItemSpan> removeRunner(SessionNumber runner);

    std::vector<SessionNumber> runners() const;
    bool isEmpty() const;
    void clear();

private:
    struct Range
    {
        std::uint32_t count = 0;
        SessionNumber runner;
        SteadyTime end{};
    };

    std::map<std::uint32_t, Range>::const_iterator find(std::uint32_t index) const;

    /** By the first item. */
    std::map<std::uint32_t, Range> ranges;
    /** No lease ends before. */
    SteadyTime firstEnd = SteadyTime::max();
};

} // namespace Dogwoodkeel
