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

/** Has the requests of workspaces counted over all nodes: asks for this node's requests, and counts for all where it has the
 * duty. */
class QuotaService
{
public:
    QuotaService(const Clock &clock, PeerNetwork &peers, CoordinatorElections &duties, const QuotaBounds &bounds);
    QuotaService(const QuotaService &) = delete;
    QuotaService &operator=(const QuotaService &) = delete;

    /** Take part in counting; to be called when there are workspaces. */
    void start();

    /** See QuotaClient::query(). @param version of the configuration that names the workspace */
    QuotaClient::Ticket ask(const Workspace &workspace, std::uint64_t version, QuotaClient::DecisionHandler decided);

    /** The answer is not wanted any more. */
    void cancel(QuotaClient::Ticket ticket);

    /** Any datagram of another node came. */
    void noteReceived(const Address &from);

    /** @return whether the datagram was about quotas. */
    bool receive(const Datagram &datagram);

    /** The members changed, see PeerNetwork::dutyView(). */
    void setView(const MemberViewPointer &view);

    /** Look after what time brings. */
    void tick();

    /** @return requests of this node that were decided without a counter. */
    std::uint64_t decidedAlone() const;

    /** @return workspaces that this node counts for all. */
    std::size_t counted() const;

private:
    /** Names a question among all nodes. */
    using QuestionId = std::pair<SessionNumber, QuotaClient::Ticket>;

    /** One of the counters. */
    struct Part
    {
        std::string duty;
        /** Made when somebody asks this node. */
        std::unique_ptr<QuotaCounter> counter;
        /** What was answered: a question that is repeated must not be counted twice. */
        std::map<QuestionId, QuotaDecision> answered;
        std::deque<std::pair<SteadyTime, QuestionId>> answeredOrder;
        /** Datagrams of a handover that have come, of the node that sends them. */
        std::map<std::uint32_t, QuotaHandover> handover;
        SteadyTime handoverReceived{};
        SteadyTime nextClean{};
    };

    bool askCounter(const CounterQuery &question, QuotaClient::Counter counter);
    void receive(const Datagram &datagram, const QuotaAsk &ask);
    void receive(const QuotaHandover &handover);
    void takeHandover(Part &part);
    QuotaDecision count(std::size_t number, const QuestionId &id, const CounterQuery &question);
    QuotaCounter &counterOf(Part &part);
    void handOver(std::size_t number, const CoordinatorElections::Change &move);
    void clean(Part &part);
    bool mayCount(const std::string &duty) const;
    bool isAlone() const;
    bool isOutOfTouch() const;
    void watchTouch();
    void watchContact();
    void dropCounters(std::string_view reason);

    const Clock &clock;
    PeerNetwork &peers;
    CoordinatorElections &duties;
    QuotaBounds bounds;
    SteadyTime started;
    MemberViewPointer view;
    std::chrono::nanoseconds suspended{0};
    SteadyTime nextProbe{};
    std::array<Part, quotaParts> parts;
    QuotaClient asker;
    RecentMembers recent;
    ReachabilityEstimator contact;
    /** When the sample is next told who the others are. */
    SteadyTime nextOthers{};
    /** When a request was last refused by a counter of this node. */
    SteadyTime refused{};
    /** The share of the fleet that the counters were last given. */
    std::optional<double> share;
    bool isCut = false;
};

} // namespace Dogwoodkeel
