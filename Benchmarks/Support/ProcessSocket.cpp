#include <Benchmarks/Support/ProcessSocket.h>

#include <LibTask/Sockets.h>

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

namespace Dogwoodkeel
{

namespace
{

/** Offset of the source address in an IPv4 header. */
constexpr std::uint32_t senderAddressOffset = static_cast<std::uint32_t>(SKF_NET_OFF) + 12;

void attachFilter(int descriptor, std::vector<sock_filter> program)
{
    const sock_fprog attached{static_cast<unsigned short>(program.size()), program.data()};
    if (setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &attached, sizeof(attached)) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot attach a filter to a socket of a node");
    }
}

} // namespace

ProcessSocket::ProcessSocket(int descriptor) : descriptor(descriptor)
{
    socklen_t size = sizeof(this->type);
    getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &this->type, &size);
    this->local = boundAddress(descriptor);
    sockaddr_in peer{};
    size = sizeof(peer);
    if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && peer.sin_family == AF_INET) {
        this->remote = toAddress(peer);
    }
}

ProcessSocket::~ProcessSocket()
{
    close(this->descriptor);
}

std::deque<ProcessSocket> ProcessSocket::of(pid_t pid)
{
    std::deque<ProcessSocket> sockets;
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

bool ProcessSocket::isDatagram() const
{
    return this->type == SOCK_DGRAM;
}

const Address &ProcessSocket::localAddress() const
{
    return this->local;
}

const std::optional<Address> &ProcessSocket::remoteAddress() const
{
    return this->remote;
}

void ProcessSocket::dropFrom(const std::vector<std::uint32_t> &senders) const
{
    std::vector<sock_filter> program;
    for (const std::uint32_t sender : senders) {
        program.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, senderAddressOffset));
        program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, sender, 0, 1));
        program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
    }
    program.push_back(BPF_STMT(BPF_RET | BPF_K, UINT32_MAX));
    attachFilter(this->descriptor, std::move(program));
}

void ProcessSocket::dropAll() const
{
    attachFilter(this->descriptor, {BPF_STMT(BPF_RET | BPF_K, 0)});
}

void ProcessSocket::removeFilter() const
{
    const int none = 0;
    setsockopt(this->descriptor, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
}

void ProcessSocket::setMaxRate(std::uint32_t bytesPerSecond) const
{
    if (setsockopt(this->descriptor, SOL_SOCKET, SO_MAX_PACING_RATE, &bytesPerSecond, sizeof(bytesPerSecond)) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot limit the rate of a socket of a node");
    }
}

void limitConnectionRates(pid_t pid, std::uint32_t bytesPerSecond)
{
    for (const ProcessSocket &socket : ProcessSocket::of(pid)) {
        if (!socket.isDatagram()) {
            socket.setMaxRate(bytesPerSecond);
        }
    }
}

} // namespace Dogwoodkeel
