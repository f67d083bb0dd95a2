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

/** The task that owns shards, with its listening socket, its platform client and the owner service. */
class OwnerTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /**
     * @param onFenced called on this task when another session has sealed the journal of this one
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
     * Starts again as a new session with an empty journal and no shards. Used after the former session was fenced and its
     * shards were acquired by other nodes.
     */
    void renew(SessionNumber self)
    {
        const auto notifyStopped = [this](const Address &lane, const JobStopped &stopped) {
            this->datagrams.send(lane, stopped);
        };
        const auto onReleased = [this](const Member &successor) {
            this->notifyReleased(successor.owner);
        };
        this->service = std::make_unique<OwnerService>(
            this->loop, this->clock, *this->platform, this->settings, self, this->onFenced, notifyStopped, onReleased);
        this->service->serve(this->server);
    }

    /** @return the address on which other nodes call this task. */
    const Address &address() const
    {
        return this->server.address();
    }

    /** Answers a request from another task of this node. */
    void answer(MessageNumber number, const std::string &payload, const PeerServer::SendPayload &send)
    {
        if (!this->server.answer(number, payload, send)) {
            // This number matches no response, so the call ends as unknown for the caller.
            send(MessageNumber(), {});
        }
    }

    /** @return the server for calls from other nodes. Other tasks register their handlers here. */
    PeerServer &peers()
    {
        return this->server;
    }

    OwnerService &owner()
    {
        return *this->service;
    }

    /** Puts a new configuration in force. */
    void putInForce(const SettingsPointer &settings)
    {
        this->settings.replace(settings);
    }

private:
    /** Notifies a member of shards that it can acquire. Without this, the member finds them itself a little later. */
    void notifyReleased(const Address &successor)
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
