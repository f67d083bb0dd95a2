#include <LibMembership/MembershipDatagrams.h>

#include <LibWire/Codec.h>

namespace Dogwoodkeel
{

bool receiveDatagram(Membership &membership, const Datagram &datagram)
{
    const auto deliver = [&membership, &datagram](const auto &message) {
        if (message) {
            membership.receive(datagram.from, *message);
        }
        return true;
    };
    switch (datagram.number) {
    case Ping::number:
        return deliver(decode<Ping>(datagram.payload));
    case Pong::number:
        return deliver(decode<Pong>(datagram.payload));
    case PingRequest::number:
        return deliver(decode<PingRequest>(datagram.payload));
    case MembersPull::number:
        return deliver(decode<MembersPull>(datagram.payload));
    case MembersPush::number:
        return deliver(decode<MembersPush>(datagram.payload));
    default:
        return false;
    }
}

} // namespace Dogwoodkeel
