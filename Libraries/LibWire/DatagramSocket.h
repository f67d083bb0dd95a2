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

/** A datagram that was authenticated and is not a replay. */
struct Datagram
{
    Address from;
    MessageNumber number{};
    std::string payload;
};

/**
 * Sends and receives authenticated datagrams. The message authentication code of each covers the sender's random stream
 * number and a sequence number, so that replayed datagrams are detected and dropped.
 */
class DatagramSocket
{
public:
    /**
     * @param address where to receive datagrams; port 0 selects a free port
     * @param siteKey shared by all nodes
     * @param received called for each authenticated datagram
     * @param traffic counts sent and received datagrams, if set
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

    /** @return the address at which it receives datagrams. */
    const Address &address() const;

    /** Sends a message; it may be lost. */
    template <typename Message>
    void send(const Address &target, const Message &message)
    {
        this->sendEncoded(target, Message::number, encode(message));
    }

    /** @return bytes sent so far, excluding the headers of IP and UDP. */
    std::uint64_t bytesSent() const;

private:
    static void onReadable(int descriptor, short what, void *self);
    void sendEncoded(const Address &target, MessageNumber number, const std::string &payload);
    void receive();
    void accept(const Address &from, std::string_view bytes);
    void count(MessageNumber number, TrafficMeter::Direction direction, std::size_t bytes);

    MessageKey key;
    std::function<void(Datagram)> received;
    TrafficMeter *traffic;
    int descriptor = -1;
    event *readable = nullptr;
    Address localAddress;
    std::uint64_t stream = 0;
    std::uint64_t sequence = 0;
    std::uint64_t sentBytes = 0;
    ReplayWindow replayWindow;
};

} // namespace Dogwoodkeel
