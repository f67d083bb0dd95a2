#include <LibGateway/ChunkStore.h>

#include <LibBase/Hash.h>
#include <LibGateway/ContentChunker.h>

#include <set>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Different from the hashes of chunks, so that a text of one chunk has a digest of its own. */
constexpr std::uint64_t textSeed = 1;

} // namespace

ChunkStore::Digest ChunkStore::digestOf(std::string_view text)
{
    return stableHash(text, textSeed);
}

const TextOutline &ChunkStore::put(const std::string &name, std::string_view text)
{
    const Digest digest = digestOf(text);
    const auto known = this->texts.find(name);
    if (known != this->texts.end() && known->second.digest == digest) {
        return known->second;
    }
    TextOutline outline;
    outline.digest = digest;
    for (const std::string_view content : splitByContent(text)) {
        const Digest chunk = stableHash(content);
        outline.chunks.push_back({chunk, static_cast<std::uint32_t>(content.size())});
        std::optional<std::string> &stored = this->chunks[chunk].content;
        if (!stored) {
            stored = content;
        }
    }
    this->put(name, outline);
    return this->texts.at(name);
}

void ChunkStore::put(const std::string &name, const TextOutline &outline)
{
    // Before the former text is released, as both have most chunks in common.
    this->reserve(outline);
    if (const auto former = this->texts.find(name); former != this->texts.end()) {
        this->release(former->second);
    }
    this->texts.insert_or_assign(name, outline);
}

void ChunkStore::remove(const std::string &name)
{
    if (const auto known = this->texts.extract(name); !known.empty()) {
        this->release(known.mapped());
    }
}

void ChunkStore::reserve(const TextOutline &outline)
{
    for (const ChunkReference &chunk : outline.chunks) {
        ++this->chunks[chunk.digest].references;
    }
}

void ChunkStore::release(const TextOutline &outline)
{
    for (const ChunkReference &chunk : outline.chunks) {
        const auto found = this->chunks.find(chunk.digest);
        if (found != this->chunks.end() && --found->second.references == 0) {
            this->chunks.erase(found);
        }
    }
}

bool ChunkStore::add(std::string content)
{
    const auto expected = this->chunks.find(stableHash(content));
    if (expected == this->chunks.end() || expected->second.content) {
        return false;
    }
    expected->second.content = std::move(content);
    return true;
}

const std::string *ChunkStore::find(Digest digest) const
{
    const auto found = this->chunks.find(digest);
    return found != this->chunks.end() && found->second.content ? &*found->second.content : nullptr;
}

std::vector<ChunkReference> ChunkStore::missing(const TextOutline &outline) const
{
    std::vector<ChunkReference> found;
    std::set<Digest> seen;
    for (const ChunkReference &chunk : outline.chunks) {
        if (this->find(chunk.digest) == nullptr && seen.insert(chunk.digest).second) {
            found.push_back(chunk);
        }
    }
    return found;
}

std::optional<std::string> ChunkStore::assemble(const TextOutline &outline) const
{
    std::string text;
    for (const ChunkReference &chunk : outline.chunks) {
        const std::string *const content = this->find(chunk.digest);
        if (content == nullptr) {
            return std::nullopt;
        }
        text.append(*content);
    }
    return digestOf(text) == outline.digest ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace Dogwoodkeel
