#include <LibTask/Sockets.h>
#include <LibTask/TaskHost.h>
#include <LibWire/DatagramSocket.h>
#include <LibWire/Generated/Messages.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <future>
#include <utility>

using namespace Dogwoodkeel;

namespace
{

/** Receives datagrams and passes each to a callback. */
class Receiver
{
public:
    Receiver(EventLoop &loop, std::function<void(const Datagram &)> received)
        : socket(loop, {"127.0.0.1", 0}, MessageKey("site"), std::move(received))
    {
    }

    DatagramSocket socket;
};

/** A plain UDP socket that returns received bytes, to be replayed or changed. */
class RawSocket
{
public:
    RawSocket() : descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in any = socketAddress({"127.0.0.1", 0});
        (void)bind(this->descriptor, reinterpret_cast<const sockaddr *>(&any), sizeof(any));
    }

    ~RawSocket()
    {
        close(this->descriptor);
    }

    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    Address address() const
    {
        return boundAddress(this->descriptor);
    }

    void send(const Address &target, const std::string &bytes) const
    {
        const sockaddr_in to = socketAddress(target);
        sendto(this->descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    }

    std::string receive() const
    {
        std::string bytes(65536, '\0');
        const ssize_t size = recv(this->descriptor, bytes.data(), bytes.size(), 0);
        bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return bytes;
    }

private:
    int descriptor;
};

} // namespace

// Guards against forged, changed and replayed datagrams on the network. None may be accepted as a message: a replayed notice
// of load or death would make nodes act on outdated state.
TEST_CASE("Only authentic datagrams are accepted, and each only once")
{
    std::promise<void> done;
    std::vector<std::string> accepted;
    bool isDone = false;
    TaskHost<Receiver> receiver("receiver", [&](const Datagram &datagram) {
        accepted.push_back(datagram.payload);
        if (datagram.payload == encode(LinkProbe{99}) && !std::exchange(isDone, true)) {
            done.set_value();
        }
    });
    const auto address = receiver.ask<Address>([](Receiver &task) {
        return task.socket.address();
    });
    RawSocket raw;
    TaskHost<Receiver> sender("sender", [](const Datagram &) {});
    const auto sendProbe = [&](const Address &target, std::uint64_t probe) {
        sender.post([target, probe](Receiver &task) {
            task.socket.send(target, LinkProbe{probe});
        });
    };
    sendProbe(raw.address(), 1);
    const std::string authentic = raw.receive();
    raw.send(address, authentic);
    raw.send(address, authentic);
    CHECK(rc::check([&](const std::string &randomBytes, std::size_t position, std::uint8_t change) {
        raw.send(address, randomBytes);
        std::string changed = authentic;
        changed[position % changed.size()] = static_cast<char>(changed[position % changed.size()] ^ (change | 1U));
        raw.send(address, changed);
        raw.send(address, authentic.substr(0, position % authentic.size()));
    }));
    // Repeated until one is received: the system drops datagrams when the receive buffer is full on a busy machine.
    auto future = done.get_future();
    for (int i = 0; i < 1000 && future.wait_for(std::chrono::milliseconds(30)) != std::future_status::ready; ++i) {
        sendProbe(address, 99);
    }
    receiver.ask<bool>([](Receiver &) {
        return true;
    });
    REQUIRE(accepted.size() >= 2);
    CHECK(accepted.front() == encode(LinkProbe{1}));
    CHECK(std::all_of(accepted.begin() + 1, accepted.end(), [](const std::string &payload) {
        return payload == encode(LinkProbe{99});
    }));
}
