#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/Platform.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <LibWire/PeerClient.h>
#include <LibWire/PeerServer.h>
#include <Services/Owner/OwnerService.h>

#include <functional>
#include <memory>
#include <utility>

namespace Dogwoodkeel
{

/** What the task that owns shards has: its listening socket, its platform client and the owner service. */
class OwnerTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /**
     * @param onFenced told, on this task, when the session's journal was sealed by another
     * @throws std::runtime_error if it cannot listen
     */
    OwnerTask(EventLoop &loop,
              const Clock &clock,
              const SettingsPointer &settings,
              SessionNumber self,
              const PeerSecurity &security,
              const PlatformFactory &makePlatform,
              std::function<void()> onFenced)
        : loop(loop)
        , clock(clock)
        , settings(settings)
        , onFenced(std::move(onFenced))
        , platform(makePlatform(loop))
        , server(loop, settings->listen.owner, security)
        , otherNodes(loop, security)
        , datagrams(loop, {settings->listen.owner.ip, 0}, security.siteKey, [](const Datagram &) {})
    {
        this->renew(self);
    }

    /**
     * Begin again as another session, with an empty journal and no shards: the former one was fenced, and what it had is
     * with others.
     */
    void renew(SessionNumber self)
    {
        const auto tellStopped = [this](const Address &lane, const JobStopped &stopped) {
            this->datagrams.send(lane, stopped);
        };
        const auto onReleased = [this](const Member &successor) {
            this->tellReleased(successor.owner);
        };
        this->service = std::make_unique<OwnerService>(
            this->loop, this->clock, *this->platform, this->settings, self, this->onFenced, tellStopped, onReleased);
        this->service->serve(this->server);
    }

    /** @return where other nodes call it. */
    const Address &address() const
    {
        return this->server.address();
    }

    /** Answer a request that another task of this node makes. */
    void answer(MessageNumber number, const std::string &payload, const PeerServer::SendPayload &send)
    {
        if (!this->server.answer(number, payload, send)) {
            // The caller's call ends as unknown: its number fits no response.
            send(MessageNumber(), {});
        }
    }

    /** Takes the calls of other nodes; other tasks' handlers are hung in here. */
    PeerServer &peers()
    {
        return this->server;
    }

    OwnerService &owner()
    {
        return *this->service;
    }

    /** Put a new configuration into force. */
    void putInForce(const SettingsPointer &settings)
    {
        this->settings.replace(settings);
    }

private:
    /** Tell a member that shards wait for it; it would find them by itself a little later. */
    void tellReleased(const Address &successor)
    {
        this->otherNodes.call<ShardsReleasedRequest>(
            successor, {}, this->settings->peers.callTimeout, [](const CallResult<ShardsReleasedResponse> &) {});
    }

    EventLoop &loop;
    const Clock &clock;
    SettingsHandle settings;
    std::function<void()> onFenced;
    std::unique_ptr<Platform> platform;
    PeerServer server;
    PeerClient otherNodes;
    DatagramSocket datagrams;
    std::unique_ptr<OwnerService> service;
};

} // namespace Dogwoodkeel
