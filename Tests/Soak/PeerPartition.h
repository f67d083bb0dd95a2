#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Cuts processes off from each other while they reach all else: the system drops, at the sockets of the one, what the other
 * sends. The processes have to be the caller's children.
 */
class PeerCut
{
public:
    /** A process that listens for its peers. */
    struct Peer
    {
        /** 0 while it isn't running. */
        pid_t pid = 0;
        std::string ip;
    };

    /** Positions of a sender and of a receiver. */
    using Pair = std::pair<std::size_t, std::size_t>;

    /** @param port at which all peers listen, for datagrams and for connections */
    explicit PeerCut(std::uint16_t port);

    /**
     * Drop what passes between these pairs, and nothing else any more. Connections that are opened later are found by the next
     * call.
     * @throws std::system_error if the system doesn't let it reach the sockets
     */
    void apply(const std::vector<Peer> &peers, const std::set<Pair> &pairs);

private:
    class Socket;

    std::uint16_t port;
    std::set<std::size_t> filtered;
};

} // namespace Dogwoodkeel
