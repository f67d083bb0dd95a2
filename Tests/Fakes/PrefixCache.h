#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/** A full block of a prompt. Its hash covers all blocks before it, so that equal hashes mean equal prefixes. */
struct PrefixBlock
{
    std::uint64_t hash = 0;
    std::uint64_t parent = 0;
    std::string text;
};

/** Caches the prompt prefixes of an engine: a bounded number of blocks, of which the least recently used are evicted first. */
class PrefixCache
{
public:
    static constexpr std::size_t blockBytes = 64;

    /** Called for each block that is stored or evicted. */
    using Changed = std::function<void(bool isStored, const PrefixBlock &block)>;

    PrefixCache(std::size_t capacity, Changed changed);

    /** @return the full blocks of a text. */
    static std::vector<PrefixBlock> blocksOf(std::string_view text);

    /** @return how many leading blocks are cached. Marks them as recently used. */
    std::size_t match(const std::vector<PrefixBlock> &blocks);

    void insert(const std::vector<PrefixBlock> &blocks);

    std::size_t size() const;

private:
    std::size_t capacity;
    Changed changed;
    std::list<PrefixBlock> byUse;
    std::unordered_map<std::uint64_t, std::list<PrefixBlock>::iterator> byHash;
};

} // namespace Dogwoodkeel
