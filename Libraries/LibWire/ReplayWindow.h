#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * Tells fresh sequence numbers from repeated ones, for many senders. A sender's numbers may arrive out of order by up
 * to 64. Only the senders heard of last are remembered, so memory is bounded.
 */
class ReplayWindow
{
public:
    /** @param senders how many to remember */
    explicit ReplayWindow(std::size_t senders = 4096);

    /**
     * @param sender its random stream number
     * @param sequence counts up from 1
     * @return whether the number is new; it is remembered
     */
    bool admit(std::uint64_t sender, std::uint64_t sequence);

private:
    struct Sender
    {
        std::uint64_t highest = 0;
        /** Bit n stands for highest - n. */
        std::uint64_t seen = 0;
        std::list<std::uint64_t>::iterator place;
    };

    std::size_t limit;
    std::unordered_map<std::uint64_t, Sender> senders;
    std::list<std::uint64_t> byAge;
};

} // namespace Dogwoodkeel
