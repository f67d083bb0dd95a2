#include <Tests/Soak/PeerPartition.h>

#include <LibBase/Address.h>
#include <LibTask/Sockets.h>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <optional>
#include <system_error>

namespace Dogwoodkeel
{

namespace
{

/** Offset of the source address in an IPv4 header. */
constexpr std::uint32_t senderAddressOffset = static_cast<std::uint32_t>(SKF_NET_OFF) + 12;

std::uint32_t toHostOrder(const std::string &ip)
{
    return ntohl(socketAddress({ip, 0}).sin_addr.s_addr);
}

} // namespace

/** A duplicate of a socket descriptor of another process. */
class PeerPartition::Socket
{
public:
    explicit Socket(int descriptor) : descriptor(descriptor)
    {
        socklen_t size = sizeof(this->type);
        getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &this->type, &size);
        this->local = boundAddress(descriptor);
        sockaddr_in remote{};
        size = sizeof(remote);
        if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&remote), &size) == 0 && remote.sin_family == AF_INET) {
            this->remote = toAddress(remote);
        }
    }

    ~Socket()
    {
        close(this->descriptor);
    }

    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /** @return the sockets of a process; those that are closed meanwhile are skipped. */
    static std::deque<Socket> of(pid_t pid)
    {
        std::deque<Socket> sockets;
        const int process = static_cast<int>(syscall(SYS_pidfd_open, pid, 0));
        if (process < 0) {
            return sockets;
        }
        std::error_code failure;
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) + "/fd", failure);
        for (const std::filesystem::directory_entry &entry : all) {
            if (!std::filesystem::read_symlink(entry.path(), failure).string().starts_with("socket:")) {
                continue;
            }
            const int number = std::atoi(entry.path().filename().c_str());
            const int descriptor = static_cast<int>(syscall(SYS_pidfd_getfd, process, number, 0));
            if (descriptor >= 0) {
                sockets.emplace_back(descriptor);
            } else if (errno != EBADF && errno != ESRCH) {
                const int error = errno;
                close(process);
                throw std::system_error(error, std::generic_category(), "cannot duplicate a socket of a node");
            }
        }
        close(process);
        return sockets;
    }

    bool isDatagram() const
    {
        return this->type == SOCK_DGRAM;
    }

    const Address &localAddress() const
    {
        return this->local;
    }

    /** @return the remote address, if the socket is connected. */
    const std::optional<Address> &remoteAddress() const
    {
        return this->remote;
    }

    /** Drops packets from these addresses; an empty list drops nothing. */
    void dropFrom(const std::vector<std::uint32_t> &senders) const
    {
        std::vector<sock_filter> program;
        for (const std::uint32_t sender : senders) {
            program.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, senderAddressOffset));
            program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, sender, 0, 1));
            program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
        }
        program.push_back(BPF_STMT(BPF_RET | BPF_K, UINT32_MAX));
        this->attachFilter(std::move(program));
    }

    void dropAll() const
    {
        this->attachFilter({BPF_STMT(BPF_RET | BPF_K, 0)});
    }

    void removeFilter() const
    {
        const int none = 0;
        setsockopt(this->descriptor, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
    }

private:
    void attachFilter(std::vector<sock_filter> program) const
    {
        const sock_fprog attached{static_cast<unsigned short>(program.size()), program.data()};
        if (setsockopt(this->descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &attached, sizeof(attached)) != 0) {
            throw std::system_error(errno, std::generic_category(), "cannot attach a filter to a socket of a node");
        }
    }

    int descriptor;
    int type = 0;
    Address local;
    std::optional<Address> remote;
};

PeerPartition::PeerPartition(std::uint16_t port) : port(port)
{
}

void PeerPartition::apply(const std::vector<Peer> &peers, const std::set<Pair> &pairs)
{
    std::set<std::size_t> affected = std::exchange(this->filteredReceivers, {});
    for (const auto &[sender, receiver] : pairs) {
        affected.insert({sender, receiver});
        this->filteredReceivers.insert(receiver);
    }
    std::map<std::size_t, std::deque<Socket>> sockets;
    // The opener of a connection uses an ephemeral port, so the accepting side identifies the opener by that port.
    std::map<std::uint16_t, std::size_t> openers;
    for (const std::size_t peer : affected) {
        if (peers[peer].pid <= 0) {
            continue;
        }
        for (const Socket &socket : sockets[peer] = Socket::of(peers[peer].pid)) {
            if (!socket.isDatagram() && socket.remoteAddress() && socket.remoteAddress()->port == this->port) {
                openers[socket.localAddress().port] = peer;
            }
        }
    }
    for (const auto &each : sockets) {
        const std::size_t receiver = each.first;
        std::vector<std::size_t> senders;
        std::vector<std::uint32_t> senderAddresses;
        for (const auto &[sender, to] : pairs) {
            if (to == receiver) {
                senders.push_back(sender);
                senderAddresses.push_back(toHostOrder(peers[sender].ip));
            }
        }
        const auto isFrom = [&](const Socket &socket, std::size_t sender) {
            const Address &remote = *socket.remoteAddress();
            if (remote.port == this->port) {
                return remote.ip == peers[sender].ip;
            }
            const auto opener = openers.find(remote.port);
            return socket.localAddress().port == this->port && opener != openers.end() && opener->second == sender;
        };
        for (const Socket &socket : each.second) {
            if (socket.isDatagram() && socket.localAddress().port == this->port) {
                senderAddresses.empty() ? socket.removeFilter() : socket.dropFrom(senderAddresses);
            } else if (!socket.isDatagram() && socket.remoteAddress()) {
                const bool isDropped = std::ranges::any_of(senders, [&](std::size_t sender) {
                    return isFrom(socket, sender);
                });
                isDropped ? socket.dropAll() : socket.removeFilter();
            }
        }
    }
}

} // namespace Dogwoodkeel
