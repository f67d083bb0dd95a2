#include <LibWire/DatagramSocket.h>

#include <LibTask/EventGuard.h>
#include <LibTask/EventLoop.h>
#include <LibTask/Sockets.h>
#include <LibWire/Generated/Messages.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/util.h>
#include <openssl/rand.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Maximum UDP payload over IPv4. */
constexpr std::size_t maxDatagramSize = 65507;

struct Header
{
    std::uint64_t stream = 0;
    std::uint64_t sequence = 0;
    MessageNumber number{};
};

constexpr std::size_t headerSize = sizeof(Header::stream) + sizeof(Header::sequence) + sizeof(Header::number);

std::string encodeHeader(const Header &header)
{
    std::string bytes(headerSize, '\0');
    char *const target = bytes.data();
    std::memcpy(target, &header.stream, sizeof(header.stream));
    std::memcpy(target + sizeof(header.stream), &header.sequence, sizeof(header.sequence));
    std::memcpy(target + sizeof(header.stream) + sizeof(header.sequence), &header.number, sizeof(header.number));
    return bytes;
}

Header decodeHeader(std::string_view bytes)
{
    Header header;
    std::memcpy(&header.stream, bytes.data(), sizeof(header.stream));
    std::memcpy(&header.sequence, bytes.data() + sizeof(header.stream), sizeof(header.sequence));
    std::memcpy(&header.number, bytes.data() + sizeof(header.stream) + sizeof(header.sequence), sizeof(header.number));
    return header;
}

} // namespace

DatagramSocket::DatagramSocket(EventLoop &loop,
                               const Address &address,
                               const MessageKey &siteKey,
                               std::function<void(Datagram)> received,
                               TrafficMeter *traffic)
    : key(siteKey.derive("datagrams"))
    , received(std::move(received))
    , traffic(traffic)
    , descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    const sockaddr_in target = socketAddress(address);
    if (bind(this->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        close(this->descriptor);
        throw std::runtime_error("cannot bind the datagram socket to " + address.toString());
    }
    this->localAddress = boundAddress(this->descriptor);
    RAND_bytes(reinterpret_cast<unsigned char *>(&this->stream), sizeof(this->stream));
    this->readable = event_new(loop.base(), this->descriptor, EV_READ | EV_PERSIST, &DatagramSocket::onReadable, this);
    event_add(this->readable, nullptr);
}

DatagramSocket::~DatagramSocket()
{
    event_free(this->readable);
    close(this->descriptor);
}

const Address &DatagramSocket::address() const
{
    return this->localAddress;
}

std::uint64_t DatagramSocket::bytesSent() const
{
    return this->sentBytes;
}

void DatagramSocket::sendEncoded(const Address &target, MessageNumber number, const std::string &payload)
{
    const std::string body = encodeHeader({this->stream, ++this->sequence, number}) + payload;
    const std::string bytes = body + this->key.codeOf(body);
    const sockaddr_in to = socketAddress(target);
    sendto(this->descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    this->sentBytes += bytes.size();
    this->count(number, TrafficMeter::Direction::Sent, bytes.size());
}

void DatagramSocket::count(MessageNumber number, TrafficMeter::Direction direction, std::size_t bytes)
{
    if (this->traffic != nullptr) {
        this->traffic->count(TrafficMeter::Means::Datagram, messageName(number), direction, bytes);
    }
}

void DatagramSocket::onReadable(int, short, void *self)
{
    static_cast<DatagramSocket *>(self)->receive();
}

void DatagramSocket::receive()
{
    std::array<char, maxDatagramSize> buffer;
    for (;;) {
        sockaddr_in from{};
        socklen_t length = sizeof(from);
        const ssize_t size
            = recvfrom(this->descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&from), &length);
        if (size < 0) {
            return;
        }
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
        const Address sender{text.data(), ntohs(from.sin_port)};
        runGuarded("datagram", [&] {
            this->accept(sender, std::string_view(buffer.data(), static_cast<std::size_t>(size)));
        });
    }
}

void DatagramSocket::accept(const Address &from, std::string_view bytes)
{
    if (bytes.size() < headerSize + messageCodeSize) {
        return;
    }
    const std::string_view body = bytes.substr(0, bytes.size() - messageCodeSize);
    if (!this->key.isGenuine(body, bytes.substr(body.size()))) {
        return;
    }
    const Header header = decodeHeader(body);
    if (!this->replayWindow.admit(header.stream, header.sequence)) {
        return;
    }
    this->count(header.number, TrafficMeter::Direction::Received, bytes.size());
    this->received({from, header.number, std::string(body.substr(headerSize))});
}

} // namespace Dogwoodkeel
