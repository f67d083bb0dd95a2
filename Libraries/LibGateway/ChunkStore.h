#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Chunks of large texts, by the hash of their content. The chunks of the newest content of each text are kept, so that its next
 * content needs only those that changed.
 */
class ChunkStore
{
public:
    using Digest = std::uint64_t;

    /** @return the digest that the outline of a text has. */
    static Digest digestOf(std::string_view text);

    /** Makes a text the newest content under a name. @return its outline */
    const TextOutline &put(const std::string &name, std::string_view text);

    /** Makes a text whose chunks are all stored the newest content under a name. */
    void put(const std::string &name, const TextOutline &outline);

    /** Removes a name, and the chunks that no other text refers to. */
    void remove(const std::string &name);

    /** Keeps the chunks of an outline, those stored and those added later, until it is released as many times. */
    void reserve(const TextOutline &outline);
    void release(const TextOutline &outline);

    /** Stores a received chunk. @return whether a chunk with this content was missing in an outline that is kept or reserved */
    bool add(std::string content);

    /** @return the content of a chunk, or null if it is not stored. */
    const std::string *find(Digest digest) const;

    /** @return the chunks of an outline that are not stored, each once, in their order. */
    std::vector<ChunkReference> missing(const TextOutline &outline) const;

    /** @return the text of an outline; nothing if chunks are missing, or are not those of the text. */
    std::optional<std::string> assemble(const TextOutline &outline) const;

private:
    struct Chunk
    {
        std::optional<std::string> content;
        /** The number of outlines that refer to it, and how often each does. */
        std::size_t references = 0;
    };

    std::unordered_map<Digest, Chunk> chunks;
    std::map<std::string, TextOutline> texts;
};

} // namespace Dogwoodkeel
