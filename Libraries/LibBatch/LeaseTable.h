#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Dogwoodkeel
{

/** Records which runner holds which items of one job, and until when. Stored as ranges, since items are leased in ranges. */
class LeaseTable
{
public:
    /** Adds a lease on items that no runner holds. */
    void add(const ItemSpan &span, SessionNumber runner, SteadyTime end);

    /**
     * Extends the leases on items that a runner reported. Its other leases are not extended: if the answer with the leased items
     * was lost, they would stay leased to a runner that does not know of them.
     */
    void renew(const ItemSpan &span, SessionNumber runner, SteadyTime end);

    /** Removes the lease on an item that is finished or was returned. */
    void remove(std::uint32_t index);

    /** @return whether a runner holds an item. */
    bool isHeldBy(std::uint32_t index, SessionNumber runner) const;

    /** Removes expired leases. @return their items */
    std::vector<ItemSpan> removeExpired(SteadyTime now);

    /** Removes all leases of a runner. @return their items */
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

    /** Leased ranges by their first item. */
    std::map<std::uint32_t, Range> ranges;
    /** No lease ends before this time. */
    SteadyTime firstEnd = SteadyTime::max();
};

} // namespace Dogwoodkeel
