#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace Dogwoodkeel
{

/** The requests of a node that wait for a place. What becomes known of crashes meanwhile may mean that one must not be sent. */
class WaitingRequests
{
public:
    using Ticket = std::uint64_t;

    /** A request begins to wait. @param recheck asks it whether it may still be sent; it may stop waiting from inside */
    Ticket add(std::function<void()> recheck);

    /** It waits no longer. A ticket of 0 is nobody's. */
    void remove(Ticket ticket);

    /** Ask each of them. */
    void recheckAll();

private:
    std::map<Ticket, std::function<void()>> waiting;
    Ticket lastTicket = 0;
};

} // namespace Dogwoodkeel
