#include <Services/Gateway/WaitingRequests.h>

#include <utility>

namespace Dogwoodkeel
{

WaitingRequests::Ticket WaitingRequests::add(std::function<void()> recheck)
{
    const Ticket ticket = ++this->lastTicket;
    this->waiting.emplace(ticket, std::move(recheck));
    return ticket;
}

void WaitingRequests::remove(Ticket ticket)
{
    this->waiting.erase(ticket);
}

void WaitingRequests::recheckAll()
{
    const Ticket last = this->lastTicket;
    for (auto next = this->waiting.begin(); next != this->waiting.end() && next->first <= last;) {
        const Ticket ticket = next->first;
        // A copy, as the function may remove its own entry or others from the map.
        const std::function<void()> recheck = next->second;
        recheck();
        next = this->waiting.upper_bound(ticket);
    }
}

} // namespace Dogwoodkeel
