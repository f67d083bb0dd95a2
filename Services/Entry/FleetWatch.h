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
 * Learns about the endpoints, for this node and the others.
 *
 * Each endpoint is polled by one node, the holder of its lane, so that the polls an endpoint gets do not grow with the
 * number of nodes. The others ask that node for the reports of the replicas they use, and get them by datagram, as
 * often as they can take them. That an endpoint is about to go is told to all nodes at once, by whoever learns it.
 */
class FleetWatch
{
public:
    /** Told when an endpoint is about to go, and when it is back. */
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

    /** This node goes on as another session. */
    void setSession(SessionNumber self);

    /** The platform's list of VMs came. */
    void observe(const std::vector<ListedVm> &vms);

    /** How many batch items this node's lanes run on a replica: its load report counts them, and they give way. */
    void setItems(const EndpointName &endpoint, std::uint32_t items);

    /** A datagram of another node's FleetWatch came. */
    void receive(const Datagram &datagram);

    /** An endpoint answered a request: it may say by a header that it is leaving, or how loaded it is. */
    void sawHeaders(Replica &replica, const HttpHeaders &headers);

private:
    void poll();
    void renewPolled();
    void pollOne(Replica &replica);
    void onLoad(const EndpointName &name, SteadyTime asked, const std::string &body);
    void pollEvents(Replica &replica);
    void sendReports();
    void askForReports();
    void receive(const LoadInterest &interest);
    void receive(const LoadReports &reports);
    void receive(const EndpointLeaving &leaving);
    void learnt(const ReplicaReport &report);
    void tellLeaving(const Replica &replica);
    void tellOthers(const ReplicaReport &report, int times);
    void tellChange(const Replica &replica);
    bool isPolledHere(const Replica &replica) const;
    std::vector<const Replica *> inUse();

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
    /** What the endpoints that are polled here said last, and when. */
    struct Latest
    {
        ReplicaReport report;
        SteadyTime at{};
    };
    std::map<EndpointName, Latest> latest;
    /** Batch items of this node's lanes, over time, as load reports are late. */
    std::unordered_map<EndpointName, InFlightHistory> items;
    /** The endpoints that are polled here, and a hash of the members and the configuration that this follows from. */
    std::vector<EndpointName> polled;
    std::uint64_t polledBasis = 0;
    /** Polls without an answer yet. */
    std::set<EndpointName> asked;
    std::set<EndpointName> reportedLeaving;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
