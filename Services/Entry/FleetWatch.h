#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibFleet/ReportSubscriptions.h>
#include <LibHttp/HttpClient.h>
#include <LibMembership/MemberView.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Collects the state of endpoints for this node and shares it with the others.
 *
 * Each endpoint is polled by one node, the holder of its lane, so that the number of polls per endpoint does not grow
 * with the number of nodes. The other nodes request reports for the replicas they use from that node and receive them
 * by datagram, as often as their limit of received bytes allows. The node that learns that an endpoint is about to
 * leave notifies all nodes at once.
 */
class FleetWatch
{
public:
    /** Called when an endpoint is about to leave, and when it is back. */
    using LeavingChanged = std::function<void(const EndpointName &endpoint, bool isLeaving)>;

    FleetWatch(EventLoop &loop,
               const Clock &clock,
               const SettingsHandle &settings,
               SessionNumber self,
               HttpClient &http,
               DatagramSocket &datagrams,
               ReplicaTable &replicas,
               FleetState &state);
    ~FleetWatch();
    FleetWatch(const FleetWatch &) = delete;
    FleetWatch &operator=(const FleetWatch &) = delete;

    void start(LeavingChanged leaving);
    void setView(MemberViewPointer view);

    /** Continues under another session number. */
    void setSession(SessionNumber self);

    /** Applies the platform's list of VMs. */
    void observe(const std::vector<ListedVm> &vms);

    /**
     * Sets how many batch items this node's lanes run on a replica. The replica's load report includes them, and they
     * are subtracted as they yield to online requests.
     */
    void setItems(const EndpointName &endpoint, std::uint32_t items);

    /** Handles a datagram from another node's FleetWatch. */
    void receive(const Datagram &datagram);

    /** Evaluates the headers of an endpoint's answer, which may state that it is leaving or how loaded it is. */
    void observeHeaders(Replica &replica, const HttpHeaders &headers);

private:
    void poll();
    void updatePolledEndpoints();
    void pollLoad(Replica &replica);
    void onLoad(const EndpointName &name, SteadyTime requestedAt, const std::string &body);
    void pollEvents(Replica &replica);
    void sendReports();
    void requestReports();
    void receive(const LoadInterest &interest);
    void receive(const LoadReports &reports);
    void receive(const EndpointLeaving &leaving);
    void applyReport(const ReplicaReport &report);
    void announceLeaving(const Replica &replica);
    void sendLeavingNotice(const ReplicaReport &report, int times);
    void reportLeavingChange(const Replica &replica);
    bool isPolledHere(const Replica &replica) const;
    std::vector<const Replica *> replicasInUse();

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    SessionNumber self;
    HttpClient &http;
    DatagramSocket &datagrams;
    ReplicaTable &replicas;
    FleetState &state;
    MemberViewPointer view;
    LeavingChanged leaving;
    ReportSubscriptions subscriptions;
    /** The last report of an endpoint that is polled here, and when it was requested. */
    struct Latest
    {
        ReplicaReport report;
        SteadyTime at{};
    };
    std::map<EndpointName, Latest> latest;
    /** Number of batch items of this node's lanes over time, as load reports describe the past. */
    std::unordered_map<EndpointName, InFlightHistory> items;
    /**
     * The endpoints that are polled here, and a hash of the members and the configuration from which they were
     * computed.
     */
    std::vector<EndpointName> polled;
    std::uint64_t polledBasis = 0;
    /** Endpoints with a poll that is not yet answered. */
    std::set<EndpointName> pendingPolls;
    std::set<EndpointName> reportedLeaving;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
