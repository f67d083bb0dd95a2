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

/** Takes datagrams, and passes each on as it came. */
class Receiver
{
public:
    Receiver(EventLoop &loop, std::function<void(const Datagram &)> received)
        : socket(loop, {"127.0.0.1", 0}, MessageKey("site"), std::move(received))
    {
    }

    DatagramSocket socket;
};

/** A plain UDP socket: keeps what came, to be sent again or changed. */
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

// Somebody on the network sends nonsense, changes a genuine datagram, and sends an old one again. None of it may be taken
// for a message: a replayed notice of load or death would make nodes act on what is long past.
TEST_CASE("Only genuine datagrams are taken, and each once")
{
    std::promise<void> done;
    std::vector<std::string> taken;
    bool isDone = false;
    TaskHost<Receiver> receiver("receiver", [&](const Datagram &datagram) {
        taken.push_back(datagram.payload);
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
    const std::string genuine = raw.receive();
    raw.send(address, genuine);
    raw.send(address, genuine);
    CHECK(rc::check([&](const std::string &noise, std::size_t place, std::uint8_t change) {
        raw.send(address, noise);
        std::string changed = genuine;
        changed[place % changed.size()] = static_cast<char>(changed[place % changed.size()] ^ (change | 1U));
        raw.send(address, changed);
        raw.send(address, genuine.substr(0, place % genuine.size()));
    }));
    // Sent again until one is taken: the system drops datagrams when a busy machine lets the buffer fill.
    auto future = done.get_future();
    for (int i = 0; i < 1000 && future.wait_for(std::chrono::milliseconds(30)) != std::future_status::ready; ++i) {
        sendProbe(address, 99);
    }
    receiver.ask<bool>([](Receiver &) {
        return true;
    });
    REQUIRE(taken.size() >= 2);
    CHECK(taken.front() == encode(LinkProbe{1}));
    CHECK(std::all_of(taken.begin() + 1, taken.end(), [](const std::string &payload) {
        return payload == encode(LinkProbe{99});
    }));
}
