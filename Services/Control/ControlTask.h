#pragma once

#include <LibBase/Clock.h>
#include <LibJournal/SessionRegistry.h>
#include <LibMembership/Membership.h>
#include <LibPlatform/Platform.h>
#include <LibPlatform/VmWatch.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <LibWire/PeerClient.h>
#include <LibWire/PeerLink.h>
#include <Services/Control/ConfigurationService.h>
#include <Services/Control/OperatorApi.h>
#include <Services/Control/OrderService.h>
#include <Services/Control/StatusBoard.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/** Owns the parts of the control task: this node's session, its membership, its configuration and the gossip socket. */
class ControlTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /**
     * @param settings of the VM's own files
     * @param ownFiles the texts of those files
     * @throws std::runtime_error if the datagram socket cannot be opened
     */
    ControlTask(EventLoop &loop,
                const Clock &clock,
                const SettingsPointer &settings,
                const std::vector<SettingsSource> &ownFiles,
                const PeerSecurity &security,
                const PlatformFactory &makePlatform);

    /** Acquires a session number; retries until the platform answers. */
    void openSession(std::function<void(SessionNumber)> opened);

    /**
     * Joins the membership.
     * @param self this node, without its gossip address
     * @param onChange called with each new view, on this task
     */
    void join(Member self, std::function<void(MemberViewPointer)> onChange);

    /**
     * Reads the configuration in force; retries until it is loaded. The platform must have answered once, even if a peer
     * delivers the content.
     * @param learnt called once, with the settings to start with
     */
    void learnConfiguration(std::function<void(SettingsPointer)> learnt);

    /** Applies newer configurations from now on. @param putInForce makes every task swap its settings */
    void followConfiguration(ConfigurationService::PutInForce putInForce);

    /** Gives orders to the engines from now on, while this node holds the lease for orders. */
    void startOrders();

    ConfigurationService &configuration();

    /** @return the board that collects the parts of the node's status. */
    StatusBoard &statusBoard();

    OperatorApi &operators();

    /** Stops sending to the node's other tasks, which are about to be destroyed. */
    void close();

    /** @return whether close() was called. */
    bool isClosed() const;

    /**
     * Leaves as this session and acquires another. The journal of this session was sealed, so it can own nothing further.
     * @param opened called with the number that the platform assigned
     */
    void renewSession(std::function<void(SessionNumber)> opened);

    /** Joins the membership again, as the session that was acquired last. */
    void rejoin();

    /** Reads the platform's VM list periodically. @param changed called on each change, on this task */
    void watchVms(VmWatch::Changed changed);

    /** Changes this node's member record and publishes it to the other nodes. */
    void update(const std::function<void(Member &)> &change);

    /** Waits until this node knows the members: one has answered, or there are none. @param membersKnown called once */
    void awaitMembers(std::function<void()> membersKnown);

    /** @return the time in which an update most likely reaches every node. */
    std::chrono::milliseconds spreadTime() const;

    /** Publishes the load of the entry to the other nodes, if it has changed. @param pressure as in Member */
    void publishPressure(std::uint32_t pressure);

    /** Publishes the backlog of batch items to the other nodes, if the set of models with a backlog has changed. */
    void publishBacklog(std::uint32_t backlog, std::uint64_t models);

    /** Publishes that this node leaves, and removes the row of its session. */
    void leave();

    /** @return the address at which this node receives gossip. */
    const Address &gossipAddress() const;

private:
    void receive(const Datagram &datagram);
    void contactOthers();
    void reportLeavingVms(const std::vector<ListedVm> &listed);
    void followFleetSize(std::size_t nodes);
    void checkMembersKnown(bool isAlone);
    void removeStaleRows(const std::vector<SessionRegistry::Listed> &listed);
    void contactSeeds();
    void publishConfiguration(std::uint64_t version);

    EventLoop &loop;
    const Clock &clock;
    SettingsHandle settings;
    std::unique_ptr<Platform> platform;
    SessionRegistry sessions;
    DatagramSocket datagrams;
    std::optional<Membership> membership;
    std::optional<VmWatch> vmWatch;
    SessionNumber self;
    std::mt19937_64 random;
    PeerClient peers;
    ConfigurationService versions;
    StatusBoard board;
    OperatorApi api;
    std::optional<OrderService> orders;
    bool closed = false;
    /** This node's member record at the last join, kept for rejoin(). */
    Member joined;
    std::function<void(MemberViewPointer)> onChange;
    bool isContacting = false;
    std::function<void()> membersKnown;
    std::map<SessionNumber, SteadyTime> unknownRows;
    std::uint32_t reportedPressure = 0;
    std::chrono::milliseconds contactInterval{5000};
    std::uint64_t reportedModels = 0;
};

} // namespace Dogwoodkeel
