#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>
#include <Services/Lane/LaneService.h>

namespace Dogwoodkeel
{

/** What the task that runs batch items has: the socket for load notices, its clients and the lane service. */
class LaneTask
{
public:
    /** @throws std::runtime_error if it cannot take datagrams */
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

    /** @return where load notices go. */
    const Address &address() const
    {
        return this->datagrams.address();
    }

    LaneService &lane()
    {
        return this->service;
    }

    /** Put a new configuration into force; items that run go on. */
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
            this->take<ReplicaLoad>(datagram);
            return;
        case JobStopped::number:
            this->take<JobStopped>(datagram);
            return;
        default:
            return;
        }
    }

    template <typename Message>
    void take(const Datagram &datagram)
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
