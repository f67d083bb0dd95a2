#pragma once

#include <LibMembership/Membership.h>
#include <LibWire/DatagramSocket.h>

namespace Dogwoodkeel
{

/** Hand a datagram to the membership; a malformed one is dropped. @return whether it is about membership */
bool receiveDatagram(Membership &membership, const Datagram &datagram);

} // namespace Dogwoodkeel
