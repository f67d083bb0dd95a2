#pragma once

#include <LibBase/Clock.h>
#include <LibDispatch/PlacementTypes.h>
#include <LibDispatch/WorkspaceShares.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

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
        /** When it was added to the queue. */
        SteadyTime added{};
        /** See WorkspaceShares; 0 if slots are not shared between workspaces. */
        double startTag = 0;
        /** The virtual time when it was added. */
        double arrivedTag = 0;
        /** Whether it counts among the waiting requests of its workspace. */
        bool isShared = false;
        /** Whether its workspace gets it within its share; for an online request on time. */
        bool isWithinShare = false;
    };

    /**
     * Priority, whether it is late, whether it waits for another of its workspace, start tag (online), arrival (online) or
     * latest start (batch), and ticket; the smallest key is served first.
     */
    using Key = std::tuple<std::uint32_t, bool, bool, double, SteadyTime, TicketId>;
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

    /** @return the number of those of this priority that were within the share of their workspace when they were added. */
    std::size_t withinShareAhead(std::uint32_t priority) const;

    /** @return whether an online request waits that can still be on time. */
    bool isAnyOnTime() const;

    /** @return whether slots are shared between workspaces. */
    bool isShared() const;

    /** @return the shares of the online requests or the items of a priority. */
    WorkspaceShares &sharesOf(WorkClass work, std::uint32_t priority);
    const WorkspaceShares &sharesOf(WorkClass work, std::uint32_t priority) const;

    /**
     * @return the work, in tokens, that the workspace of a request will have got beyond its share when those of its requests are
     * served that wait on time before this one
     */
    double ownExcess(const PlacementRequest &request) const;

    /** @return whether an earlier request of its workspace waits that can still be on time. */
    bool hasOwnAhead(const PlacementRequest &request) const;

    /** @return number of workspaces with waiting requests, counted for each priority and class. */
    std::size_t waitingWorkspaces() const;

private:
    struct OnTimeCount
    {
        std::size_t all = 0;
        std::size_t withinShare = 0;
    };

    /** The position of a request in the queues. */
    struct Position
    {
        WorkClass work = WorkClass::Online;
        Key key;
    };

    /**
     * The waiting requests of a workspace that are served one after another. The first online request has the workspace's tag.
     * The others have expected tags, which are replaced when they become the first, so that a withdrawn request costs its
     * workspace nothing.
     */
    struct Chain
    {
        std::set<std::pair<SteadyTime, TicketId>> requests;
        /** Sum of their expected work. */
        double work = 0;
    };

    using ShareKey = std::pair<WorkClass, std::uint32_t>;
    /** Class, priority, whether its requests are late, and workspace. */
    using ChainKey = std::tuple<WorkClass, std::uint32_t, bool, WorkspaceName>;

    Queue &queueOf(WorkClass work);
    void insert(Waiting waiting);
    /** @return the removed request; its workspace still counts it. */
    std::optional<Waiting> extract(TicketId id);
    /** @return when a request arrived, or when an item has to start, or later for an item of a workspace over its share. */
    SteadyTime orderOf(const Waiting &waiting) const;
    /** @return whether a request is served in turn with the others of its workspace. */
    static bool isChained(const Waiting &waiting);
    static ChainKey chainKeyOf(const PlacementRequest &request, bool isLate);
    /** @return the tag of a request that is added to the end of its chain. */
    double tagOf(const Waiting &waiting, bool isLate) const;
    /** @return whether it was added behind another online request. */
    bool addToChain(const Waiting &waiting, bool isLate);
    void removeFromChain(const Waiting &waiting, bool isLate);
    /** Gives the first online request of a chain its workspace's tag. */
    void updateFirst(const ChainKey &key);
    void move(TicketId id, bool isFollower, double startTag);

    const Clock &clock;
    bool hasShares;
    bool isAnyWorkspaceSeen = false;
    std::map<ShareKey, WorkspaceShares> shares;
    std::map<ChainKey, Chain> chains;
    Queue online;
    Queue batch;
    std::map<TicketId, Position> positions;
    /** Online requests that can still be on time, by priority. */
    std::map<std::uint32_t, OnTimeCount> onTime;
};

} // namespace Dogwoodkeel
