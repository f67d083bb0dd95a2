#include <LibBatch/Lane.h>

namespace Dogwoodkeel
{

Lane::Lane(std::uint32_t capacity, std::uint32_t headroom) : capacity(capacity), headroom(headroom)
{
}

void Lane::observeOnline(SessionNumber entry, std::uint64_t sequence, std::uint32_t inFlight)
{
    Notice &notice = this->notices[entry];
    if (sequence > notice.sequence) {
        notice = {sequence, inFlight};
    }
}

void Lane::forget(SessionNumber entry)
{
    this->notices.erase(entry);
}

void Lane::resize(std::uint32_t capacity, std::uint32_t headroom)
{
    this->capacity = capacity;
    this->headroom = headroom;
}

void Lane::itemStarted()
{
    ++this->items;
}

void Lane::itemStopped()
{
    --this->items;
}

std::uint32_t Lane::online() const
{
    std::uint32_t sum = 0;
    for (const auto &[entry, notice] : this->notices) {
        sum += notice.inFlight;
    }
    return sum;
}

std::uint32_t Lane::freePlaces() const
{
    const std::uint32_t taken = this->online() + this->headroom + this->items;
    return taken < this->capacity ? this->capacity - taken : 0;
}

std::uint32_t Lane::excess() const
{
    const std::uint32_t online = this->online();
    const std::uint32_t left = online < this->capacity ? this->capacity - online : 0;
    return this->items > left ? this->items - left : 0;
}

std::uint32_t Lane::running() const
{
    return this->items;
}

} // namespace Dogwoodkeel
