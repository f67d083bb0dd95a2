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

/** A block of a prompt came into an endpoint's cache, or fell out of it. */
struct CacheEvent
{
    /** Counts an endpoint's events from 1; a missing number is an event that was lost. */
    std::uint64_t number = 0;
    bool isStored = false;
    /** The endpoint's own name for the block. */
    std::uint64_t hash = 0;
    /** Its name for the block before; 0 for the first block of a prompt. */
    std::uint64_t parent = 0;
    std::string text;
};

/**
 * Which prompt prefixes a replica is believed to have in its cache. Only a hint: a wrong one costs a prefill and never
 * an answer. Events lost in a gap may have been evictions, so a gap lowers the trust in all that was known before it.
 */
class PrefixHints
{
public:
    /** Take in events, in their order. Repeated ones are harmless. */
    void observe(const std::vector<CacheEvent> &events);

    /** The endpoint started anew: its cache is empty, and its events count from 1. */
    void clear();

    /**
     * @param prefix as prefixKey() makes it
     * @return the belief that the prefix is cached there: 0 if it is not known of, otherwise above 0 up to 1
     */
    double confidence(std::uint64_t prefix) const;

    /** @return the number of the last event seen; the ones behind it are to be asked for. */
    std::uint64_t lastEventNumber() const;

    std::size_t size() const;

private:
    void observe(const CacheEvent &event);
    void store(const CacheEvent &event);

    /** The ones stored first are forgotten above this many. */
    static constexpr std::size_t most = 4096;

    /** The key of the prompt up to each block, by the endpoint's name for the block. */
    std::unordered_map<std::uint64_t, std::uint64_t> keyOfBlock;
    /** The keys of all those blocks. */
    std::unordered_set<std::uint64_t> known;
    std::deque<std::uint64_t> order;
    std::uint64_t lastNumber = 0;
    double trust = 1;
};

} // namespace Dogwoodkeel
