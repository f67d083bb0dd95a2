#pragma once

#include <LibBase/Address.h>
#include <LibBase/Identifiers.h>
#include <LibBase/TrafficMeter.h>
#include <LibWire/Codec.h>
#include <LibWire/MessageKey.h>
#include <LibWire/MessageNumber.h>
#include <LibWire/ReplayWindow.h>

#include <functional>
#include <map>
#include <string>

struct event;

namespace Dogwoodkeel
{

class EventLoop;

/** A datagram that was found genuine and fresh. */
struct Datagram
{
    Address from;
    MessageNumber number{};
    std::string payload;
};

/**
 * Sends and takes authenticated datagrams. Each carries its sender's random stream number and a sequence number
 * under the code, so that a replayed one is dropped.
 */
class DatagramSocket
{
public:
    /**
     * @param address where to take datagrams; port 0 takes a free one
     * @param siteKey shared by all nodes
     * @param received told of each genuine datagram
     * @param traffic counts what is sent and received, if set
     * @throws std::runtime_error if the address cannot be bound
     */
    DatagramSocket(EventLoop &loop,
                   const Address &address,
                   const MessageKey &siteKey,
                   std::function<void(Datagram)> received,
                   TrafficMeter *traffic = nullptr);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** @return where it takes datagrams. */
    const Address &address() const;

    /** Send a message; it may be lost. */
    template <typename Message>
    void send(const Address &target, const Message &message)
    {
        this->sendEncoded(target, Message::number, encode(message));
    }

    /** @return bytes sent so far, without the headers of IP and UDP. */
    std::uint64_t bytesSent() const;

private:
    static void onReadable(int descriptor, short what, void *self);
    void sendEncoded(const Address &target, MessageNumber number, const std::string &payload);
    void receive();
    void take(const Address &from, std::string_view bytes);
    void count(MessageNumber number, TrafficMeter::Direction direction, std::size_t bytes);

    MessageKey key;
    std::function<void(Datagram)> received;
    TrafficMeter *traffic;
    int descriptor = -1;
    event *readable = nullptr;
    Address boundTo;
    std::uint64_t stream = 0;
    std::uint64_t sequence = 0;
    std::uint64_t sentBytes = 0;
    ReplayWindow seen;
};

} // namespace Dogwoodkeel
