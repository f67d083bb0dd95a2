#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/ReachabilityEstimator.h>
#include <LibMembership/RecentMembers.h>
#include <LibWire/DatagramSocket.h>
#include <LibWorkspace/QuotaClient.h>
#include <LibWorkspace/QuotaCounter.h>
#include <Services/Gateway/CoordinatorElections.h>
#include <Services/Gateway/PeerNetwork.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Dogwoodkeel
{

/** Enforces the quotas of workspaces over all nodes: queries the counters for this node's requests, and counts for all nodes in
 * the roles whose coordinator this node is. */
class QuotaService
{
public:
    QuotaService(const Clock &clock, PeerNetwork &peers, CoordinatorElections &elections, const QuotaBounds &bounds);
    QuotaService(const QuotaService &) = delete;
    QuotaService &operator=(const QuotaService &) = delete;

    /** Starts to take part in counting; called when workspaces are configured. */
    void start();

    /** See QuotaClient::query(). @param version version of the configuration that names the workspace */
    QuotaClient::Ticket request(const Workspace &workspace, std::uint64_t version, QuotaClient::DecisionHandler decided);

    /** Cancels a request; its callback is not called any more. */
    void cancel(QuotaClient::Ticket ticket);

    /** Records that a datagram of another node was received. */
    void recordReceived(const Address &from);

    /** @return whether the datagram was about quotas. */
    bool receive(const Datagram &datagram);

    /** Applies a change of the members, see PeerNetwork::roleView(). */
    void setView(const MemberViewPointer &view);

    /** Runs periodic checks and timeouts. */
    void tick();

    /** @return number of requests of this node that were decided without a counter. */
    std::uint64_t decidedAlone() const;

    /** @return number of workspaces that this node counts for all nodes. */
    std::size_t counted() const;

private:
    /** Identifies a query among all nodes. */
    using QueryId = std::pair<SessionNumber, QuotaClient::Ticket>;

    /** A part of the workspaces, and the counter for it. */
    struct Part
    {
        std::string role;
        /** Created at the first query to this node. */
        std::unique_ptr<QuotaCounter> counter;
        /** Recent answers: a repeated query must not be counted twice. */
        std::map<QueryId, QuotaDecision> answered;
        std::deque<std::pair<SteadyTime, QueryId>> answeredOrder;
        /** Datagrams received of the current handover, all from one node. */
        std::map<std::uint32_t, QuotaHandover> handover;
        SteadyTime handoverReceived{};
        SteadyTime nextClean{};
    };

    bool queryCounter(const CounterQuery &question, QuotaClient::Counter counter);
    void receive(const Datagram &datagram, const QuotaQuery &query);
    void receive(const QuotaHandover &handover);
    void applyHandover(Part &part);
    QuotaDecision count(std::size_t number, const QueryId &id, const CounterQuery &question);
    QuotaCounter &counterOf(Part &part);
    void handOver(std::size_t number, const CoordinatorElections::Change &change);
    void clean(Part &part);
    bool mayCount(const std::string &role) const;
    bool isAlone() const;
    bool isIsolated() const;
    void checkIsolation();
    void updateReachability();
    void dropCounters(std::string_view reason);

    const Clock &clock;
    PeerNetwork &peers;
    CoordinatorElections &elections;
    QuotaBounds bounds;
    SteadyTime started;
    MemberViewPointer view;
    std::chrono::nanoseconds suspended{0};
    SteadyTime nextProbe{};
    std::array<Part, quotaParts> parts;
    QuotaClient asker;
    RecentMembers recent;
    ReachabilityEstimator reachability;
    /** When the reachability estimator next gets the recent members. */
    SteadyTime nextRecentMembers{};
    /** When a request was last refused by a counter of this node. */
    SteadyTime lastRefusal{};
    /** The share of the fleet last set in the counters. */
    std::optional<double> share;
    bool isPartitioned = false;
};

} // namespace Dogwoodkeel
