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

/** Number of counters that the workspaces are distributed over by name. Each counter is a role with its own coordinator. */
inline constexpr std::size_t quotaParts = 4;

/** @return the index of the counter that is responsible for a workspace. */
std::size_t quotaPartOf(const WorkspaceName &workspace);

/** Query to a counter: whether one more request of a workspace may run. */
struct CounterQuery
{
    std::uint64_t ticket = 0;
    WorkspaceName workspace;
    RequestQuota quota;
    /** Version of the configuration that defines the quota. */
    std::uint64_t version = 0;
};

/**
 * Obtains quota decisions for the requests of this node. It queries the counter of the workspace; without an answer, the
 * successor of that counter; and without an answer from the successor, it decides by the node's share of the quota, see
 * LocalQuota. The loss of a counter delays only the first requests after it, by some tens of milliseconds.
 */
class QuotaClient
{
public:
    using Ticket = std::uint64_t;
    using DecisionHandler = std::function<void(const QuotaDecision &)>;

    /** Node to query. */
    enum class Counter {
        Coordinator,
        Successor,
    };

    struct Hooks
    {
        /**
         * Sends a query; its answer is passed to handleAnswer(), possibly from inside this call.
         * @return whether there is a node to query
         */
        std::function<bool(const CounterQuery &, Counter)> sendQuery;
        /** Called when the coordinator of a part did not answer. */
        std::function<void(std::size_t part)> suspectCoordinator;
    };

    QuotaClient(const Clock &clock, const QuotaBounds &bounds, Hooks hooks);

    /** See LocalQuota::setNodes(). */
    void setNodes(std::size_t position, std::size_t count);

    /**
     * Requests a decision on whether a request may run.
     * @param onDecision called once, possibly from inside this call
     * @return identifies the query until the decision
     */
    Ticket query(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version, DecisionHandler onDecision);

    /** Drops a query; its decision handler is not called. */
    void cancel(Ticket ticket);

    /** Handles the answer of a counter. */
    void handleAnswer(Ticket ticket, const QuotaDecision &decision);

    /** Clears the suspicions of a part after another node became its coordinator. */
    void handleCoordinatorChange(std::size_t part);

    /** Sends unanswered queries again and handles expired timeouts. */
    void tick();

    /** @return number of requests that were decided without a counter. */
    std::uint64_t decidedLocally() const;

    /** @return whether a counter of the part has answered recently. */
    bool hasRecentAnswer(std::size_t part) const;

private:
    struct PendingQuery
    {
        CounterQuery query;
        DecisionHandler onDecision;
        Counter counter = Counter::Coordinator;
        SteadyTime started{};
        /** Whether no node was known that could be queried. */
        bool hasNoCounter = false;
        /** When the current counter was first queried, and when last. */
        SteadyTime firstSent{};
        SteadyTime lastSent{};
    };

    /** State of the counters of a part. */
    struct Part
    {
        /** Until when the coordinator, or its successor, is skipped because it did not answer. */
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
