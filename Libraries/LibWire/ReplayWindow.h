#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * Detects repeated sequence numbers of many senders. The numbers of a sender may arrive out of order by less than 64. Only
 * the most recently active senders are stored, which bounds the memory.
 */
class ReplayWindow
{
public:
    /** @param senders maximum number of senders to store */
    explicit ReplayWindow(std::size_t senders = 4096);

    /**
     * @param sender its random stream number
     * @param sequence counts up from 1
     * @return whether the number is new; it is then recorded
     */
    bool admit(std::uint64_t sender, std::uint64_t sequence);

private:
    struct Sender
    {
        std::uint64_t highest = 0;
        /** Bit n is set if highest - n was received. */
        std::uint64_t received = 0;
        std::list<std::uint64_t>::iterator position;
    };

    std::size_t limit;
    std::unordered_map<std::uint64_t, Sender> senders;
    std::list<std::uint64_t> byLastUse;
};

} // namespace Dogwoodkeel
