#pragma once

#include <LibBase/Findings.h>
#include <LibBase/Hash.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Upper limits for a job submission. */
struct JobBounds
{
    std::size_t items = 0;
    std::size_t itemBytes = 0;
    std::size_t itemsPerObject = 0;
};

/** Items of a job that are stored together. */
struct ItemChunk
{
    /** One item per line. */
    std::string items;
    /** A JSON array of the items' custom ids, with null for an item without one; empty if no item has one. */
    std::string customIds;
};

/**
 * Validates a job's items as they arrive, and splits them into the chunks they are stored in. Each line is a JSON
 * object with a model and a prompt or messages, or one that has such an object as its "body" and a "custom_id". All
 * items must be for the same model. Memory use is bounded by one line and the chunks not yet removed, whatever the
 * length of the job.
 */
class JobParser
{
public:
    explicit JobParser(JobBounds bounds);

    /** @param data the next part of the body */
    void feed(std::string_view data);

    /** Ends the body: processes the last line and closes the last chunk. */
    void end();

    /** Removes the oldest full chunk; after end() also the last chunk, which may be smaller. @return it, or nothing */
    std::optional<ItemChunk> popChunk();

    /** @return number of chunks not yet removed by popChunk(). */
    std::size_t pendingChunks() const;

    /** @return the invalid lines, up to a fixed number; the items may be used only if there are none. */
    const Findings &findings() const;

    /** @return whether the maximum number of findings is reached, after which further lines are ignored. */
    bool hasTooManyFindings() const;

    /** @return the model that all items are for. */
    const std::string &model() const;

    std::uint32_t itemCount() const;

    /** @return number of items in each chunk except the last; fixed once the first chunk is full. */
    std::uint32_t itemsPerChunk() const;

    /** @return hash of the whole body; valid after end(). */
    std::uint64_t fingerprint() const;

private:
    void finishLine();
    std::string checkItem(std::string_view line);
    void closeChunk();

    JobBounds bounds;
    Findings found;
    StreamingHash hash;
    std::string line;
    bool isLineTooLong = false;
    std::uint32_t lineNumber = 1;
    std::string modelName;
    std::uint32_t count = 0;
    std::uint32_t itemsInChunk = 0;
    std::uint32_t perChunk = 0;
    ItemChunk currentChunk;
    std::string currentIds;
    bool hasIds = false;
    std::deque<ItemChunk> fullChunks;
};

} // namespace Dogwoodkeel
