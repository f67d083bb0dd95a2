#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <functional>

namespace Dogwoodkeel
{

/**
 * Owns a request for a slot, and the slot that it gets. Both end with their owner at the latest, so that no way out of a request
 * can keep a slot taken.
 */
class SlotHandle
{
public:
    using Ticket = std::uint64_t;
    /** Ends the request of a ticket; see PlacementClient::requestSlot(). */
    using End = std::function<void(Ticket, PlacementVerdict, const RunTiming &)>;

    /** Owns nothing. */
    SlotHandle() = default;
    SlotHandle(Ticket ticket, End end);
    ~SlotHandle();
    SlotHandle(SlotHandle &&other) noexcept;
    /** Ends the request owned so far, if there is one. */
    SlotHandle &operator=(SlotHandle &&other) noexcept;
    SlotHandle(const SlotHandle &) = delete;
    SlotHandle &operator=(const SlotHandle &) = delete;

    /** @return whether it owns a request that has not ended. */
    bool isOpen() const;

    /** @return the ticket of the request, or 0. */
    Ticket ticket() const;

    /**
     * Ends the request, because its run is over or it no longer needs a slot. Does nothing if there is none.
     * @param timing what the run showed of its replica's speed
     */
    void release(PlacementVerdict verdict, const RunTiming &timing = {});

private:
    Ticket owned = 0;
    End end;
};

} // namespace Dogwoodkeel
