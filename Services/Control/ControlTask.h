#pragma once

#include <LibBase/Clock.h>
#include <LibJournal/SessionRegistry.h>
#include <LibMembership/Membership.h>
#include <LibPlatform/Platform.h>
#include <LibPlatform/VmWatch.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <LibWire/PeerLink.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Dogwoodkeel
{

/** What the control task has: this node's session, its membership and the socket for gossip. */
class ControlTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /** @throws std::runtime_error if it cannot take datagrams */
    ControlTask(EventLoop &loop,
                const Clock &clock,
                const SettingsPointer &settings,
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
    void tellBacklog(std::uint32_t backlog);

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

    EventLoop &loop;
    const Clock &clock;
    SettingsHandle settings;
    std::unique_ptr<Platform> platform;
    SessionRegistry sessions;
    DatagramSocket datagrams;
    std::optional<Membership> membership;
    std::optional<VmWatch> vmWatch;
    SessionNumber self;
    /** As it joined, to join again. */
    Member joined;
    std::function<void(MemberViewPointer)> onChange;
    bool meeting = false;
    std::function<void()> met;
    std::map<SessionNumber, SteadyTime> unknownRows;
    std::uint32_t toldBacklog = 0;
    std::uint32_t toldPressure = 0;
    std::chrono::milliseconds meetInterval{5000};
};

} // namespace Dogwoodkeel
