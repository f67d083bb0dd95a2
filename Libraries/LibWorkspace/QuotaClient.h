#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibWorkspace/LocalQuota.h>
#include <LibWorkspace/QuotaBounds.h>
#include <LibWorkspace/QuotaDecision.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace Dogwoodkeel
{

/** The workspaces are spread over so many counters by their names, each of them a duty of its own. */
inline constexpr std::size_t quotaParts = 4;

/** @return which of the counters counts a workspace. */
std::size_t quotaPartOf(const WorkspaceName &workspace);

/** What a counter is pending. */
struct CounterQuery
{
    std::uint64_t ticket = 0;
    WorkspaceName workspace;
    RequestQuota quota;
    /** Of the configuration that the quota stands in. */
    std::uint64_t version = 0;
};

/**
 * Gets the requests of this node counted. It asks the counter of a workspace; without an answer the node that would take that
 * duty over; and if that does not answer either, it decides by its own part, see LocalQuota. A counter that is lost delays a
 * request by some tens of milliseconds, and only the first ones.
 */
class QuotaClient
{
public:
    using Ticket = std::uint64_t;
    using DecisionHandler = std::function<void(const QuotaDecision &)>;

    /** Whom to ask. */
    enum class Counter {
        Coordinator,
        Successor,
    };

    struct Hooks
    {
        /** Ask; the answer comes back by take(), maybe at once. @return whether there is such a node */
        std::function<bool(const CounterQuery &, Counter)> sendQuery;
        /** The holder of a part did not answer. */
        std::function<void(std::size_t part)> suspectCoordinator;
    };

    QuotaClient(const Clock &clock, const QuotaBounds &bounds, Hooks hooks);

    /** See LocalQuota::setNodes(). */
    void setNodes(std::size_t position, std::size_t count);

    /**
     * Ask whether a request may run.
     * @param onDecision told once, maybe from inside this call
     * @return names the query until then
     */
    Ticket query(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version, DecisionHandler onDecision);

    /** The answer is not wanted any more. */
    void cancel(Ticket ticket);

    /** A counter has answered. */
    void handleAnswer(Ticket ticket, const QuotaDecision &decision);

    /** Another node has the duty of a counter now: what is suspected of the one before does not count. */
    void handleCoordinatorChange(std::size_t part);

    /** Look after what time brings. */
    void tick();

    /** @return requests that were decided without a counter. */
    std::uint64_t decidedLocally() const;

    /** @return whether a counter of the part has answered lately. */
    bool hasRecentAnswer(std::size_t part) const;

private:
    struct PendingQuery
    {
        CounterQuery query;
        DecisionHandler onDecision;
        Counter counter = Counter::Coordinator;
        SteadyTime started{};
        /** Whether there was nobody to ask. */
        bool hasNoCounter = false;
        /** When that counter was first pending, and last. */
        SteadyTime firstSent{};
        SteadyTime lastSent{};
    };

    /** What is known of the counters of a part. */
    struct Part
    {
        /** Until then the holder, or its successor as well, is not waited for. */
        SteadyTime coordinatorSuspectedUntil{};
        SteadyTime successorSuspectedUntil{};
        SteadyTime answered{};
    };

    void sendToCounter(Ticket ticket, Counter counter);
    void tryNextCounter(Ticket ticket);
    void checkQuery(Ticket ticket);
    void suspectCounter(const PendingQuery &pending);
    void decideLocally(Ticket ticket);
    void decide(Ticket ticket, const QuotaDecision &decision);

    const Clock &clock;
    Hooks hooks;
    LocalQuota localQuota;
    std::array<Part, quotaParts> parts;
    std::map<Ticket, PendingQuery> pendingQueries;
    Ticket lastTicket = 0;
    std::uint64_t localDecisions = 0;
};

} // namespace Dogwoodkeel
