#include <Tests/Fakes/PrefixCache.h>

#include <LibBase/Hash.h>

#include <utility>

namespace Dogwoodkeel
{

PrefixCache::PrefixCache(std::size_t capacity, Changed changed) : capacity(capacity), changed(std::move(changed))
{
}

std::vector<PrefixBlock> PrefixCache::blocksOf(std::string_view text)
{
    std::vector<PrefixBlock> blocks;
    std::uint64_t parent = 0;
    for (std::size_t at = 0; at + blockBytes <= text.size(); at += blockBytes) {
        const std::string_view block = text.substr(at, blockBytes);
        const std::uint64_t hash = stableHash(block, parent);
        blocks.push_back({hash, parent, std::string(block)});
        parent = hash;
    }
    return blocks;
}

std::size_t PrefixCache::match(const std::vector<PrefixBlock> &blocks)
{
    std::size_t matched = 0;
    for (const PrefixBlock &block : blocks) {
        const auto found = this->byHash.find(block.hash);
        if (found == this->byHash.end()) {
            break;
        }
        this->byUse.splice(this->byUse.end(), this->byUse, found->second);
        ++matched;
    }
    return matched;
}

void PrefixCache::insert(const std::vector<PrefixBlock> &blocks)
{
    for (std::size_t i = this->match(blocks); i < blocks.size(); ++i) {
        if (this->byHash.contains(blocks[i].hash)) {
            continue;
        }
        this->byHash[blocks[i].hash] = this->byUse.insert(this->byUse.end(), blocks[i]);
        this->changed(true, blocks[i]);
    }
    while (this->byUse.size() > this->capacity) {
        const PrefixBlock evicted = std::move(this->byUse.front());
        this->byUse.pop_front();
        this->byHash.erase(evicted.hash);
        this->changed(false, evicted);
    }
}

std::size_t PrefixCache::size() const
{
    return this->byUse.size();
}

} // namespace Dogwoodkeel
