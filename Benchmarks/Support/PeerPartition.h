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
 * Partitions the network between pairs of processes, in one or both directions; other traffic is unaffected. Attaches filters
 * to the sockets of the receiving process, which drop the traffic of the sender. The processes must be children of the caller.
 */
class PeerPartition
{
public:
    /** A process that accepts connections and datagrams from its peers. */
    struct Peer
    {
        /** 0 while the process isn't running. */
        pid_t pid = 0;
        std::string ip;
    };

    /** Indexes of a sender and a receiver in the list of peers. */
    using Pair = std::pair<std::size_t, std::size_t>;

    /** @param port on which all peers listen, for both datagrams and connections */
    explicit PeerPartition(std::uint16_t port);

    /**
     * Drops traffic from the sender to the receiver of each pair, and removes the filters of earlier calls from all other
     * sockets. Connections that are opened later are filtered from the next call on.
     * @throws std::system_error if the sockets of a process can't be accessed
     */
    void apply(const std::vector<Peer> &peers, const std::set<Pair> &pairs);

private:
    std::uint16_t port;
    std::set<std::size_t> filteredReceivers;
};

} // namespace Dogwoodkeel
