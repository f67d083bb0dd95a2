#pragma once

#include <LibBase/Address.h>

#include <netinet/in.h>

namespace Dogwoodkeel
{

/** @return the address in the form the socket calls take. */
sockaddr_in socketAddress(const Address &address);

/** @return an address from the form the socket calls give. */
Address toAddress(const sockaddr_in &address);

/** @return where a socket is bound. */
Address boundAddress(int descriptor);

/** Send what is written to a TCP socket at once instead of waiting for the last part's acknowledgement. */
void sendWithoutDelay(int descriptor);

} // namespace Dogwoodkeel
