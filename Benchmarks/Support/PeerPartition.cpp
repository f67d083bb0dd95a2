#include <Benchmarks/Support/PeerPartition.h>

#include <Benchmarks/Support/ProcessSocket.h>
#include <LibBase/Address.h>
#include <LibTask/Sockets.h>

#include <arpa/inet.h>

#include <algorithm>
#include <deque>

namespace Dogwoodkeel
{

namespace
{

std::uint32_t toHostOrder(const std::string &ip)
{
    return ntohl(socketAddress({ip, 0}).sin_addr.s_addr);
}

} // namespace

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
    std::map<std::size_t, std::deque<ProcessSocket>> sockets;
    // The opener of a connection uses an ephemeral port, so the accepting side identifies the opener by that port.
    std::map<std::uint16_t, std::size_t> openers;
    for (const std::size_t peer : affected) {
        if (peers[peer].pid <= 0) {
            continue;
        }
        for (const ProcessSocket &socket : sockets[peer] = ProcessSocket::of(peers[peer].pid)) {
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
        const auto isFrom = [&](const ProcessSocket &socket, std::size_t sender) {
            const Address &remote = *socket.remoteAddress();
            if (remote.port == this->port) {
                return remote.ip == peers[sender].ip;
            }
            const auto opener = openers.find(remote.port);
            return socket.localAddress().port == this->port && opener != openers.end() && opener->second == sender;
        };
        for (const ProcessSocket &socket : each.second) {
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
