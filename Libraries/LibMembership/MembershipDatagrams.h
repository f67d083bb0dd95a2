#pragma once

#include <LibMembership/Membership.h>
#include <LibWire/DatagramSocket.h>

namespace Dogwoodkeel
{

/** Passes a datagram to the membership and drops a malformed one. @return whether it is a membership message */
bool receiveDatagram(Membership &membership, const Datagram &datagram);

} // namespace Dogwoodkeel
