#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Queues updates for dissemination by gossip. Each update is sent a bounded number of times, a small multiple of the logarithm of
 * the size of the fleet. That reaches every node with high probability (Das, Gupta, Motivala, 2002, section 4.1). After that the
 * update causes no traffic.
 * @tparam Key identifies the subject of an update; a newer update replaces an older one with the same key
 */
template <typename Key>
class UpdateQueue
{
public:
    void add(const Key &key)
    {
        this->remove(key);
        this->queued.push_back({key, 0, ++this->lastOrder});
    }

    void remove(const Key &key)
    {
        std::erase_if(this->queued, [&key](const Entry &entry) {
            return entry.key == key;
        });
    }

    /**
     * Selects the updates for one datagram: those sent least often, and of these the newest.
     * @param maxCount maximum number of updates
     * @param maxTransmissions number of transmissions after which an update is dropped
     */
    std::vector<Key> selectNext(std::size_t maxCount, std::uint32_t maxTransmissions)
    {
        const std::size_t count = std::min(maxCount, this->queued.size());
        const auto end = this->queued.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(this->queued.begin(), end, this->queued.end(), [](const Entry &left, const Entry &right) {
            return left.transmissions != right.transmissions ? left.transmissions < right.transmissions
                                                             : left.order > right.order;
        });
        std::vector<Key> selected;
        for (std::size_t i = 0; i < count; ++i) {
            ++this->queued[i].transmissions;
            selected.push_back(this->queued[i].key);
        }
        std::erase_if(this->queued, [maxTransmissions](const Entry &entry) {
            return entry.transmissions >= maxTransmissions;
        });
        return selected;
    }

    std::size_t size() const
    {
        return this->queued.size();
    }

private:
    struct Entry
    {
        Key key;
        std::uint32_t transmissions = 0;
        std::uint64_t order = 0;
    };

    std::vector<Entry> queued;
    std::uint64_t lastOrder = 0;
};

} // namespace Dogwoodkeel
