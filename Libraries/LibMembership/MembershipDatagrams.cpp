#include <LibMembership/MembershipDatagrams.h>

#include <LibWire/Codec.h>

namespace Dogwoodkeel
{

bool receiveDatagram(Membership &membership, const Datagram &datagram)
{
    const auto take = [&membership, &datagram](const auto &message) {
        if (message) {
            membership.receive(datagram.from, *message);
        }
        return true;
    };
    switch (datagram.number) {
    case Ping::number:
        return take(decode<Ping>(datagram.payload));
    case Pong::number:
        return take(decode<Pong>(datagram.payload));
    case PingRequest::number:
        return take(decode<PingRequest>(datagram.payload));
    case MembersPull::number:
        return take(decode<MembersPull>(datagram.payload));
    case MembersPush::number:
        return take(decode<MembersPush>(datagram.payload));
    default:
        return false;
    }
}

} // namespace Dogwoodkeel
