#include <LibGateway/ContentChunker.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace Dogwoodkeel
{

namespace
{

/** Min size of a chunk, because each chunk adds an entry to the outline of its text. */
constexpr std::size_t minChunkBytes = 2048;
/** One in this many positions, as a power of two, ends a chunk. */
constexpr unsigned int boundaryBits = 13;
constexpr std::size_t byteValues = 256;
constexpr unsigned int hashBits = 64;

/** Random numbers for the rolling hash, from a fixed seed, so that all nodes split a text alike (SplitMix64). */
constexpr std::array<std::uint64_t, byteValues> makeByteHashes()
{
    std::array<std::uint64_t, byteValues> hashes{};
    std::uint64_t state = 0;
    for (std::uint64_t &hash : hashes) {
        state += 0x9e3779b97f4a7c15;
        std::uint64_t mixed = state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111eb;
        hash = mixed ^ (mixed >> 31U);
    }
    return hashes;
}

constexpr std::array<std::uint64_t, byteValues> byteHashes = makeByteHashes();

/** @return the size of the chunk at the start of a text. */
std::size_t firstChunkSize(std::string_view text)
{
    const std::size_t end = std::min(text.size(), maxChunkBytes);
    std::uint64_t hash = 0;
    for (std::size_t position = std::min(minChunkBytes, end); position < end; ++position) {
        // The shift lets each byte leave the hash after 64 steps (gear hash).
        hash = (hash << 1U) + byteHashes[static_cast<unsigned char>(text[position])];
        if (hash >> (hashBits - boundaryBits) == 0) {
            return position + 1;
        }
    }
    return end;
}

} // namespace

std::vector<std::string_view> splitByContent(std::string_view text)
{
    std::vector<std::string_view> chunks;
    while (!text.empty()) {
        const std::size_t size = firstChunkSize(text);
        chunks.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return chunks;
}

} // namespace Dogwoodkeel
