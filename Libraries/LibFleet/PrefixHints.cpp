#include <LibFleet/PrefixHints.h>

#include <LibFleet/PrefixKey.h>

namespace Dogwoodkeel
{

namespace
{

constexpr double trustAfterGap = 0.5;
/** How much of the missing trust each event without a gap gives back. */
constexpr double regain = 0.02;

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
    this->trust += (1 - this->trust) * regain;
    this->lastNumber = event.number;
    if (event.isStored) {
        this->store(event);
        return;
    }
    const auto block = this->keyOfBlock.find(event.hash);
    if (block != this->keyOfBlock.end()) {
        this->known.erase(block->second);
        this->keyOfBlock.erase(block);
    }
}

void PrefixHints::store(const CacheEvent &event)
{
    std::uint64_t before = 0;
    if (event.parent != 0) {
        const auto parent = this->keyOfBlock.find(event.parent);
        if (parent == this->keyOfBlock.end()) {
            // Lost in a gap: without what stands before it, the block cannot be told from others with the same text.
            return;
        }
        before = parent->second;
    }
    const std::uint64_t key = extendPrefixKey(before, event.text);
    if (!this->keyOfBlock.emplace(event.hash, key).second) {
        return;
    }
    this->known.insert(key);
    this->order.push_back(event.hash);
    if (this->order.size() <= most) {
        return;
    }
    const auto oldest = this->keyOfBlock.find(this->order.front());
    this->order.pop_front();
    if (oldest != this->keyOfBlock.end()) {
        this->known.erase(oldest->second);
        this->keyOfBlock.erase(oldest);
    }
}

void PrefixHints::clear()
{
    *this = PrefixHints();
}

double PrefixHints::confidence(std::uint64_t prefix) const
{
    return this->known.contains(prefix) ? this->trust : 0;
}

std::uint64_t PrefixHints::lastEventNumber() const
{
    return this->lastNumber;
}

std::size_t PrefixHints::size() const
{
    return this->known.size();
}

} // namespace Dogwoodkeel
