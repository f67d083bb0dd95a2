#pragma once

#include <LibBase/Identifiers.h>

#include <cstdint>
#include <map>

namespace Dogwoodkeel
{

/**
 * How many batch items may run on one replica. Its holder alone starts batch work there, and so can stop it at once
 * when online requests come.
 */
class Lane
{
public:
    /**
     * @param capacity requests the replica runs side by side
     * @param headroom places kept free for online requests that are not yet known of
     */
    Lane(std::uint32_t capacity, std::uint32_t headroom);

    /**
     * An entry told how many online requests it has there. The number is absolute, so a lost notice heals with the
     * next, and an older one that arrives late is dropped.
     */
    void observeOnline(SessionNumber entry, std::uint64_t sequence, std::uint32_t inFlight);

    /** An entry is gone, and its requests with it. */
    void forget(SessionNumber entry);

    /** The settings say otherwise now. Counts what the constructor's parameters do. */
    void resize(std::uint32_t capacity, std::uint32_t headroom);

    void itemStarted();
    void itemStopped();

    /** @return items that may be started now. */
    std::uint32_t freePlaces() const;

    /** @return running items that must stop now, to give their places to online requests. */
    std::uint32_t excess() const;

    std::uint32_t running() const;

private:
    struct Notice
    {
        std::uint64_t sequence = 0;
        std::uint32_t inFlight = 0;
    };

    std::uint32_t online() const;

    std::uint32_t capacity;
    std::uint32_t headroom;
    std::uint32_t items = 0;
    std::map<SessionNumber, Notice> notices;
};

} // namespace Dogwoodkeel
