#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/WorkspaceShares.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace Dogwoodkeel
{

/**
 * Holds the requests and items that wait for a slot, in the order in which they are served: by priority; then those
 * that can still be on time before the late ones; then online requests by the shares of their workspaces and by arrival,
 * and batch items by the time they have to start.
 *
 * Under overload, serving in order of arrival or of deadline alone makes every request late: the slots go to requests
 * that have just missed their objective.
 */
class WaitingQueue
{
public:
    struct Waiting
    {
        PlacementRequest request;
        /** When its node last sent the request. */
        SteadyTime lastRequested{};
        /** See WorkspaceShares; 0 if slots are not shared between workspaces. */
        double startTag = 0;
        /** Whether its workspace is charged for it. */
        bool isCharged = false;
    };

    /**
     * Priority, whether it is late, start tag (online), arrival (online) or latest start (batch), and ticket; the smallest
     * key is served first.
     */
    using Key = std::tuple<std::uint32_t, bool, double, SteadyTime, TicketId>;
    using Queue = std::map<Key, Waiting>;

    /** @param hasShares whether slots are shared between workspaces once a request belongs to one */
    explicit WaitingQueue(const Clock &clock, bool hasShares = true);

    void add(const PlacementRequest &request, SteadyTime lastRequested);

    /** Removes a waiting request that is not placed; does nothing if it does not wait. */
    void remove(TicketId id);

    /** Removes a waiting request that is placed now. */
    void removePlaced(TicketId id);

    void removeIf(const std::function<bool(const Waiting &)> &isRemoved);

    bool contains(TicketId id) const;

    /** @return the waiting request, or null. */
    Waiting *find(TicketId id);
    const Waiting *find(TicketId id) const;

    /** @return all waiting requests of a class, in the order of service. */
    const Queue &of(WorkClass work) const;

    /** Moves the requests that have become late behind those on time. */
    void demoteLate();

    /**
     * Moves a request behind those on time if it has become late.
     * @return whether it was moved
     */
    bool demoteIfLate(TicketId id);

    /** @return the number of waiting online requests of this or a more urgent priority that can still be on time. */
    std::size_t onTimeAhead(std::uint32_t priority) const;

    /** @return whether an online request waits that can still be on time. */
    bool isAnyOnTime() const;

    /** @return whether slots are shared between workspaces. */
    bool isShared() const;

    /** @return the shares of online requests or of batch items. */
    WorkspaceShares &sharesOf(WorkClass work);
    const WorkspaceShares &sharesOf(WorkClass work) const;

private:
    /** The position of a request in the queues. */
    struct Position
    {
        WorkClass work = WorkClass::Online;
        Key key;
    };

    Queue &queueOf(WorkClass work);
    void insert(Waiting waiting);
    /** @return the removed request; it has to be accounted for. */
    std::optional<Waiting> extract(TicketId id);
    SteadyTime orderOf(const Waiting &waiting) const;

    const Clock &clock;
    bool hasShares;
    bool isAnyWorkspaceSeen = false;
    WorkspaceShares onlineShares;
    WorkspaceShares batchShares;
    Queue online;
    Queue batch;
    std::map<TicketId, Position> positions;
    /** Number of online requests that can still be on time, by priority. */
    std::map<std::uint32_t, std::size_t> onTime;
};

} // namespace Dogwoodkeel
