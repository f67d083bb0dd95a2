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

/** What the control task has: this node's session, its membership and the socket for gossip. */
class ControlTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /**
     * @param settings of the VM's own files
     * @param ownFiles the texts of those files
     * @throws std::runtime_error if it cannot take datagrams
     */
    ControlTask(EventLoop &loop,
                const Clock &clock,
                const SettingsPointer &settings,
                const std::vector<SettingsSource> &ownFiles,
                const PeerSecurity &security,
                const PlatformFactory &makePlatform);

    /** Take a session number; tries until the platform answers. */
    void openSession(std::function<void(SessionNumber)> opened);

    /**
     * Become a member.
     * @param self this node, without its gossip address
     * @param onChange told of each new view, on this task
     */
    void join(Member self, std::function<void(MemberViewPointer)> onChange);

    /**
     * Find out the configuration in force, from the platform or a peer; goes on until one answers.
     * @param learnt told once, with the settings to start by
     */
    void learnConfiguration(std::function<void(SettingsPointer)> learnt);

    /** Hand newer configurations on. @param putInForce has every task swap its settings */
    void followConfiguration(ConfigurationService::PutInForce putInForce);

    /** Give orders to the engines from now on, while this node holds the lease of it. */
    void startOrders();

    ConfigurationService &configuration();

    /** Where the parts of the node's status are collected. */
    StatusBoard &statusBoard();

    OperatorApi &operators();

    /** Send nothing to the node's other tasks from now on: they are about to be destroyed. */
    void close();

    /** @return whether close() was called. */
    bool isClosed() const;

    /**
     * Leave as this session and take another: this one's journal was sealed, so it can own nothing any more.
     * @param opened told when the platform has given a number out
     */
    void renewSession(std::function<void(SessionNumber)> opened);

    /** Become a member again, as the session that was taken last. */
    void rejoin();

    /** Read the platform's VM list from now on. @param changed told of each change, on this task */
    void watchVms(VmWatch::Changed changed);

    /** Tell the others of a change of this node. */
    void update(const std::function<void(Member &)> &change);

    /** @param met told once, when this node knows the members: one has answered, or there are none */
    void awaitMembers(std::function<void()> met);

    /** @return how long news takes to reach every node, most likely. */
    std::chrono::milliseconds spreadTime() const;

    /** Tell the others how busy the entry is, if that has changed. @param pressure as in Member */
    void tellPressure(std::uint32_t pressure);

    /** Tell the others how many batch items wait here, if that has changed enough to matter. */
    void tellBacklog(std::uint32_t backlog, std::uint64_t models);

    /** Tell the others that this node is gone, and remove its session's row. */
    void leave();

    /** @return where this node takes gossip. */
    const Address &gossipAddress() const;

private:
    void receive(const Datagram &datagram);
    void meetOthers();
    void tellLeaving(const std::vector<ListedVm> &listed);
    void followFleetSize(std::size_t nodes);
    void checkMet(bool isAlone);
    void cleanRows(const std::vector<SessionRegistry::Listed> &listed);
    void meetBeforeJoining();
    void tellConfiguration(std::uint64_t version);

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
    /** As it joined, to join again. */
    Member joined;
    std::function<void(MemberViewPointer)> onChange;
    bool meeting = false;
    std::function<void()> met;
    std::map<SessionNumber, SteadyTime> unknownRows;
    std::uint32_t reportedPressure = 0;
    std::chrono::milliseconds meetInterval{5000};
    std::uint64_t reportedModels = 0;
};

} // namespace Dogwoodkeel
