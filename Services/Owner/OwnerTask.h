#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/Platform.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerServer.h>
#include <Services/Owner/OwnerService.h>

#include <functional>
#include <memory>

namespace Dogwoodkeel
{

/** What the task that owns shards has: its listening socket, its platform client and the owner service. */
class OwnerTask
{
public:
    using PlatformFactory = std::function<std::unique_ptr<Platform>(EventLoop &)>;

    /** @throws std::runtime_error if it cannot listen */
    OwnerTask(EventLoop &loop,
              const Clock &clock,
              const SettingsPointer &settings,
              SessionNumber self,
              const PeerSecurity &security,
              const PlatformFactory &makePlatform)
        : settings(settings)
        , platform(makePlatform(loop))
        , server(loop, settings->listen.owner, security)
        , service(loop, clock, *this->platform, this->settings, self)
    {
        this->service.serve(this->server);
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

    OwnerService &owner()
    {
        return this->service;
    }

    /** Put a new configuration into force. */
    void putInForce(const SettingsPointer &settings)
    {
        this->settings.replace(settings);
    }

private:
    SettingsHandle settings;
    std::unique_ptr<Platform> platform;
    PeerServer server;
    OwnerService service;
};

} // namespace Dogwoodkeel
