#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Dogwoodkeel
{

/** A block of a prompt was stored in or evicted from an endpoint's cache. */
struct CacheEvent
{
    /** Sequence number of the endpoint's events, starting at 1; a missing number means a lost event. */
    std::uint64_t number = 0;
    bool isStored = false;
    /** The endpoint's identifier of the block. */
    std::uint64_t hash = 0;
    /** The endpoint's identifier of the preceding block; 0 for the first block of a prompt. */
    std::uint64_t parent = 0;
    std::string text;
};

/**
 * Tracks the prompt prefixes that a replica is expected to have in its cache. The result is a hint: a wrong one costs a
 * prefill and does not affect the response. Events lost in a gap may have been evictions, so a gap lowers the trust in
 * all earlier events.
 */
class PrefixHints
{
public:
    /** Applies events in their order. Repeated events are ignored. */
    void observe(const std::vector<CacheEvent> &events);

    /** Resets the state after a restart of the endpoint: its cache is empty and its events count from 1 again. */
    void clear();

    /**
     * @param prefix key as returned by prefixKey()
     * @return the confidence that the prefix is cached: 0 if the prefix is unknown, otherwise above 0 and at most 1
     */
    double confidence(std::uint64_t prefix) const;

    /** @return the number of the last applied event; later events are to be requested */
    std::uint64_t lastEventNumber() const;

    std::size_t size() const;

private:
    void observe(const CacheEvent &event);
    void store(const CacheEvent &event);

    /** Above this number of blocks the oldest ones are removed. */
    static constexpr std::size_t maxBlocks = 4096;

    /** Key of the prompt up to and including each block, by the endpoint's identifier of the block. */
    std::unordered_map<std::uint64_t, std::uint64_t> keyOfBlock;
    /** Keys of all those blocks. */
    std::unordered_set<std::uint64_t> cachedPrefixes;
    std::deque<std::uint64_t> insertionOrder;
    std::uint64_t lastNumber = 0;
    double trust = 1;
};

} // namespace Dogwoodkeel
