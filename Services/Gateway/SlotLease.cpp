#include <Services/Gateway/SlotLease.h>

#include <utility>

namespace Dogwoodkeel
{

SlotLease::SlotLease(Ticket ticket, End end) : owned(ticket), end(std::move(end))
{
}

SlotLease::~SlotLease()
{
    this->release(PlacementVerdict::Finished);
}

SlotLease::SlotLease(SlotLease &&other) noexcept : owned(std::exchange(other.owned, 0)), end(std::move(other.end))
{
}

SlotLease &SlotLease::operator=(SlotLease &&other) noexcept
{
    if (this != &other) {
        this->release(PlacementVerdict::Finished);
        this->owned = std::exchange(other.owned, 0);
        this->end = std::move(other.end);
    }
    return *this;
}

bool SlotLease::isOpen() const
{
    return this->owned != 0;
}

SlotLease::Ticket SlotLease::ticket() const
{
    return this->owned;
}

void SlotLease::release(PlacementVerdict verdict, const RunTiming &timing)
{
    if (const Ticket ended = std::exchange(this->owned, 0); ended != 0) {
        this->end(ended, verdict, timing);
    }
}

} // namespace Dogwoodkeel
