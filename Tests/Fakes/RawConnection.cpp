#include <Tests/Fakes/RawConnection.h>

#include <LibTask/Sockets.h>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace Dogwoodkeel
{

namespace
{

/** Makes a server that does not respond fail the test instead of hanging it. */
constexpr timeval timeout{30, 0};

} // namespace

RawConnection::RawConnection(const Address &address) : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in target = socketAddress(address);
    if (connect(this->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        close(this->descriptor);
        throw std::runtime_error("cannot connect to " + address.toString());
    }
}

RawConnection::~RawConnection()
{
    close(this->descriptor);
}

bool RawConnection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void RawConnection::endSending()
{
    shutdown(this->descriptor, SHUT_WR);
}

std::string RawConnection::readUntil(std::string_view text)
{
    while (this->received.find(text) == std::string::npos && this->readMore()) { }
    return this->received;
}

std::string RawConnection::readAll()
{
    while (this->readMore()) { }
    return this->received;
}

void RawConnection::drop(std::size_t bytes)
{
    this->received.erase(0, bytes);
}

std::string RawConnection::readBytes(std::size_t bytes)
{
    while (this->received.size() < bytes && this->readMore()) { }
    return this->received;
}

bool RawConnection::isClosed() const
{
    return this->closed;
}

bool RawConnection::readMore()
{
    constexpr std::size_t size = 65536;
    std::array<char, size> buffer;
    const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        this->closed = count == 0 || errno == ECONNRESET;
        return false;
    }
    this->received.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

} // namespace Dogwoodkeel
