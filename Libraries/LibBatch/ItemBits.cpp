#include <LibBatch/ItemBits.h>

#include <algorithm>
#include <bit>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint32_t wordBits = 64;
constexpr std::uint32_t byteBits = 8;

std::uint64_t maskOf(std::uint32_t index)
{
    return std::uint64_t(1) << (index % wordBits);
}

} // namespace

ItemBits::ItemBits(std::uint32_t size) : bits(size), words((size + wordBits - 1) / wordBits)
{
}

std::uint32_t ItemBits::size() const
{
    return this->bits;
}

bool ItemBits::test(std::uint32_t index) const
{
    return (this->words[index / wordBits] & maskOf(index)) != 0;
}

void ItemBits::set(std::uint32_t index)
{
    this->words[index / wordBits] |= maskOf(index);
}

void ItemBits::clear(std::uint32_t index)
{
    this->words[index / wordBits] &= ~maskOf(index);
}

std::uint32_t ItemBits::firstClear(std::uint32_t from) const
{
    if (from >= this->bits) {
        return this->bits;
    }
    std::size_t word = from / wordBits;
    std::uint64_t clear = ~this->words[word] & (~std::uint64_t(0) << (from % wordBits));
    while (clear == 0) {
        if (++word == this->words.size()) {
            return this->bits;
        }
        clear = ~this->words[word];
    }
    const auto index = static_cast<std::uint32_t>(word * wordBits) + static_cast<std::uint32_t>(std::countr_zero(clear));
    return std::min(index, this->bits);
}

std::string ItemBits::slice(std::uint32_t first, std::uint32_t count) const
{
    std::string bytes((count + byteBits - 1) / byteBits, '\0');
    for (std::uint32_t i = 0; i < count; ++i) {
        if (this->test(first + i)) {
            bytes[i / byteBits] = static_cast<char>(static_cast<unsigned char>(bytes[i / byteBits]) | (1U << (i % byteBits)));
        }
    }
    return bytes;
}

bool ItemBits::testSlice(std::string_view slice, std::uint32_t index)
{
    if (index / byteBits >= slice.size()) {
        return false;
    }
    return (static_cast<unsigned char>(slice[index / byteBits]) & (1U << (index % byteBits))) != 0;
}

void ItemBits::clearInSlice(std::string &slice, std::uint32_t index)
{
    char &byte = slice[index / byteBits];
    byte = static_cast<char>(static_cast<unsigned char>(byte) & ~(1U << (index % byteBits)));
}

} // namespace Dogwoodkeel
