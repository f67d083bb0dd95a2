#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/PlacementTypes.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <tuple>

namespace Dogwoodkeel
{

/**
 * The requests and items that wait for a place, in the order in which they are served: the more urgent first; of those who can
 * still be on time the one that came first, of items the one that has to start first; the late ones behind them.
 *
 * Under overload, first come first served makes everybody late, and so does first due: the slots are spent on those who have just
 * missed their objective.
 */
class WaitingQueue
{
public:
    struct Waiting
    {
        PlacementRequest request;
        /** When its node last asked. */
        SteadyTime lastRequested{};
    };

    /** Priority, whether it is late, when it came or has to start, and which it is: whom to serve first stands first. */
    using Key = std::tuple<std::uint32_t, bool, SteadyTime, TicketId>;
    using Queue = std::map<Key, Waiting>;

    explicit WaitingQueue(const Clock &clock);

    void add(const PlacementRequest &request, SteadyTime lastRequested);

    /** One that does not wait is ignored. */
    void remove(TicketId id);

    void removeIf(const std::function<bool(const Waiting &)> &isRemoved);

    bool contains(TicketId id) const;

    /** @return one that waits, or null. */
    Waiting *find(TicketId id);

    /** @return all of a class that wait, in their order. */
    const Queue &of(WorkClass work) const;

    /** Put those that have become late behind the others. */
    void demoteLate();

    /** Put one that has become late behind the others. @return whether it has */
    bool demoteIfLate(TicketId id);

    /** @return online requests of a priority or a more urgent one that can still be on time. */
    std::size_t onTimeAhead(std::uint32_t priority) const;

    /** @return whether any online request that can still be on time waits. */
    bool isAnyOnTime() const;

private:
    /** Where one stands. */
    struct Position
    {
        WorkClass work = WorkClass::Online;
        Key key;
    };

    Queue &queueOf(WorkClass work);

    const Clock &clock;
    Queue online;
    Queue batch;
    std::map<TicketId, Position> positions;
    /** Online requests that can still be on time, by priority. */
    std::map<std::uint32_t, std::size_t> onTime;
};

} // namespace Dogwoodkeel
