#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace Dogwoodkeel
{

/**
 * Keeps the requests of a node that wait for a slot, and lets them be checked again when more becomes known about crashes: a
 * request that crashes replicas must not be sent.
 */
class WaitingRequests
{
public:
    using Ticket = std::uint64_t;

    /**
     * Adds a request that starts to wait.
     * @param recheck checks whether the request may still be sent; it may remove this and other requests
     * @return the ticket by which the request is removed, never 0
     */
    Ticket add(std::function<void()> recheck);

    /** Removes a request that no longer waits. A ticket of 0 has no effect. */
    void remove(Ticket ticket);

    /** Calls the recheck function of each request that waits. */
    void recheckAll();

private:
    std::map<Ticket, std::function<void()>> waiting;
    Ticket lastTicket = 0;
};

} // namespace Dogwoodkeel
