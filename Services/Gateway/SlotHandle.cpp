#include <Services/Gateway/SlotHandle.h>

#include <utility>

namespace Dogwoodkeel
{

SlotHandle::SlotHandle(Ticket ticket, End end) : owned(ticket), end(std::move(end))
{
}

SlotHandle::~SlotHandle()
{
    this->release(PlacementVerdict::Finished);
}

SlotHandle::SlotHandle(SlotHandle &&other) noexcept : owned(std::exchange(other.owned, 0)), end(std::move(other.end))
{
}

SlotHandle &SlotHandle::operator=(SlotHandle &&other) noexcept
{
    if (this != &other) {
        this->release(PlacementVerdict::Finished);
        this->owned = std::exchange(other.owned, 0);
        this->end = std::move(other.end);
    }
    return *this;
}

bool SlotHandle::isOpen() const
{
    return this->owned != 0;
}

SlotHandle::Ticket SlotHandle::ticket() const
{
    return this->owned;
}

void SlotHandle::release(PlacementVerdict verdict, const RunTiming &timing)
{
    if (const Ticket ended = std::exchange(this->owned, 0); ended != 0) {
        this->end(ended, verdict, timing);
    }
}

} // namespace Dogwoodkeel
