#pragma once

#include <LibBase/Address.h>

#include <netinet/in.h>

namespace Dogwoodkeel
{

/** @return the address in the form that the socket calls expect. */
sockaddr_in socketAddress(const Address &address);

/** @return the address that a socket call returned. */
Address toAddress(const sockaddr_in &address);

/** @return the address that a socket is bound to. */
Address boundAddress(int descriptor);

/** Disables Nagle's algorithm: data written to a TCP socket is sent without waiting for an earlier acknowledgement. */
void sendWithoutDelay(int descriptor);

} // namespace Dogwoodkeel
