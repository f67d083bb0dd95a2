#include <LibFleet/PrefixHints.h>

#include <LibFleet/PrefixKey.h>

namespace Dogwoodkeel
{

namespace
{

constexpr double trustAfterGap = 0.5;
/** Share of the missing trust that each event without a gap restores. */
constexpr double trustRecovery = 0.02;

} // namespace

void PrefixHints::observe(const std::vector<CacheEvent> &events)
{
    for (const CacheEvent &event : events) {
        if (event.number > this->lastNumber) {
            this->observe(event);
        }
    }
}

void PrefixHints::observe(const CacheEvent &event)
{
    if (event.number != this->lastNumber + 1) {
        this->trust *= trustAfterGap;
    }
    this->trust += (1 - this->trust) * trustRecovery;
    this->lastNumber = event.number;
    if (event.isStored) {
        this->store(event);
        return;
    }
    const auto block = this->keyOfBlock.find(event.hash);
    if (block != this->keyOfBlock.end()) {
        this->cachedPrefixes.erase(block->second);
        this->keyOfBlock.erase(block);
    }
}

void PrefixHints::store(const CacheEvent &event)
{
    std::uint64_t parentKey = 0;
    if (event.parent != 0) {
        const auto parent = this->keyOfBlock.find(event.parent);
        if (parent == this->keyOfBlock.end()) {
            // The parent was lost in a gap. Without it the block is indistinguishable from other blocks with the same
            // text.
            return;
        }
        parentKey = parent->second;
    }
    const std::uint64_t key = extendPrefixKey(parentKey, event.text);
    if (!this->keyOfBlock.emplace(event.hash, key).second) {
        return;
    }
    this->cachedPrefixes.insert(key);
    this->insertionOrder.push_back(event.hash);
    if (this->insertionOrder.size() <= maxBlocks) {
        return;
    }
    const auto oldest = this->keyOfBlock.find(this->insertionOrder.front());
    this->insertionOrder.pop_front();
    if (oldest != this->keyOfBlock.end()) {
        this->cachedPrefixes.erase(oldest->second);
        this->keyOfBlock.erase(oldest);
    }
}

void PrefixHints::clear()
{
    *this = PrefixHints();
}

double PrefixHints::confidence(std::uint64_t prefix) const
{
    return this->cachedPrefixes.contains(prefix) ? this->trust : 0;
}

std::uint64_t PrefixHints::lastEventNumber() const
{
    return this->lastNumber;
}

std::size_t PrefixHints::size() const
{
    return this->cachedPrefixes.size();
}

} // namespace Dogwoodkeel
