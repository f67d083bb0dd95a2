#pragma once

#include <LibBase/Address.h>

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Dogwoodkeel
{

/** A duplicate of a socket descriptor of a child process, or of the calling process, through which its options are changed. */
class ProcessSocket
{
public:
    /** Takes ownership of a descriptor. */
    explicit ProcessSocket(int descriptor);
    ~ProcessSocket();
    ProcessSocket(const ProcessSocket &) = delete;
    ProcessSocket &operator=(const ProcessSocket &) = delete;

    /**
     * @return the sockets of a process; those that are closed meanwhile are skipped
     * @throws std::system_error if the sockets can't be accessed
     */
    static std::deque<ProcessSocket> of(pid_t pid);

    bool isDatagram() const;

    const Address &localAddress() const;

    /** @return the remote address, if the socket is connected. */
    const std::optional<Address> &remoteAddress() const;

    /** Drops packets from these IPv4 addresses, in host byte order; an empty list drops nothing. */
    void dropFrom(const std::vector<std::uint32_t> &senders) const;

    void dropAll() const;

    void removeFilter() const;

    /**
     * Limits the rate at which a connection sends, like a slow link. On a listening socket, the limit applies to the connections
     * that it accepts from then on.
     */
    void setMaxRate(std::uint32_t bytesPerSecond) const;

private:
    int descriptor;
    int type = 0;
    Address local;
    std::optional<Address> remote;
};

/**
 * Limits the rate at which each connection of a process sends, and those that its listening sockets accept later.
 * @throws std::system_error if the sockets can't be accessed
 */
void limitConnectionRates(pid_t pid, std::uint32_t bytesPerSecond);

} // namespace Dogwoodkeel
