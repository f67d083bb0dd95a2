#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Dogwoodkeel
{

/**
 * What is still to be told to others. Each piece of news goes out a bounded number of times: that many tellings, a small
 * multiple of the logarithm of the fleet's size, reach every node with high probability (Das, Gupta, Motivala, 2002,
 * section 4.1), and after them it costs nothing any more.
 * @tparam Key names what the news is about; newer news about the same takes the place of older
 */
template <typename Key>
class NewsQueue
{
public:
    void add(const Key &key)
    {
        this->remove(key);
        this->queued.push_back({key, 0, ++this->lastOrder});
    }

    void remove(const Key &key)
    {
        std::erase_if(this->queued, [&key](const Piece &piece) {
            return piece.key == key;
        });
    }

    /**
     * Take what goes into one datagram: what was told least, of that the newest.
     * @param most how many pieces
     * @param tellings after how many a piece is dropped
     */
    std::vector<Key> take(std::size_t most, std::uint32_t tellings)
    {
        const std::size_t count = std::min(most, this->queued.size());
        const auto end = this->queued.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(this->queued.begin(), end, this->queued.end(), [](const Piece &left, const Piece &right) {
            return left.reported != right.reported ? left.reported < right.reported : left.order > right.order;
        });
        std::vector<Key> taken;
        for (std::size_t i = 0; i < count; ++i) {
            ++this->queued[i].reported;
            taken.push_back(this->queued[i].key);
        }
        std::erase_if(this->queued, [tellings](const Piece &piece) {
            return piece.reported >= tellings;
        });
        return taken;
    }

    std::size_t size() const
    {
        return this->queued.size();
    }

private:
    struct Piece
    {
        Key key;
        std::uint32_t reported = 0;
        std::uint64_t order = 0;
    };

    std::vector<Piece> queued;
    std::uint64_t lastOrder = 0;
};

} // namespace Dogwoodkeel
