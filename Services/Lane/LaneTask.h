#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Lane/LaneService.h>

namespace Dogwoodkeel
{

/** Owns the parts of the task that runs batch items: the socket for load notices, the clients and the lane service. */
class LaneTask
{
public:
    /** @throws std::runtime_error if the datagram socket cannot be opened */
    LaneTask(EventLoop &loop,
             const Clock &clock,
             const SettingsPointer &settings,
             SessionNumber self,
             const PeerSecurity &security,
             const LocalPeer &ownOwner)
        : settings(settings)
        , peers(loop, security, ownOwner)
        , http(loop)
        , service(loop, clock, this->settings, self, this->peers, this->http)
        , datagrams(loop, settings->listen.lane, security.siteKey, [this](const Datagram &datagram) {
            this->receive(datagram);
        })
    {
    }

    /** @return the address that receives load notices. */
    const Address &address() const
    {
        return this->datagrams.address();
    }

    LaneService &lane()
    {
        return this->service;
    }

    /** Puts a new configuration into force. Running items continue. */
    void putInForce(const SettingsPointer &settings)
    {
        this->settings.replace(settings);
        this->service.settingsChanged();
    }

private:
    void receive(const Datagram &datagram)
    {
        switch (datagram.number) {
        case ReplicaLoad::number:
            this->handle<ReplicaLoad>(datagram);
            return;
        case JobStopped::number:
            this->handle<JobStopped>(datagram);
            return;
        default:
            return;
        }
    }

    template <typename Message>
    void handle(const Datagram &datagram)
    {
        if (const auto message = decode<Message>(datagram.payload)) {
            this->service.observe(*message);
        }
    }

    SettingsHandle settings;
    PeerClient peers;
    HttpClient http;
    LaneService service;
    DatagramSocket datagrams;
};

} // namespace Dogwoodkeel
