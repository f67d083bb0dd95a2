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

/** What a job's submission may be at most. */
struct JobBounds
{
    std::size_t items = 0;
    std::size_t itemBytes = 0;
    std::size_t itemsPerObject = 0;
};

/** Items of a job that are stored together. */
struct ItemChunk
{
    /** One item a line. */
    std::string items;
    /** A JSON array of the items' custom ids, null for one without; empty if none has any. */
    std::string customIds;
};

/**
 * Checks a job's items as they arrive, and splits them into the chunks they are stored in. Each line is a JSON object
 * with a model and a prompt or messages, or one that holds such an object as its "body", beside a "custom_id"; all
 * are for one model. What it keeps is bounded by one line and one chunk, however long the job is.
 */
class JobParser
{
public:
    explicit JobParser(JobBounds bounds);

    /** @param data the next part of the body */
    void feed(std::string_view data);

    /** The body has ended. */
    void end();

    /** @return the next full chunk, or nothing; after end() also the last one. */
    std::optional<ItemChunk> takeChunk();

    /** @return chunks not yet taken. */
    std::size_t chunks() const;

    /** @return every line that is wrong, up to a fixed number; the items are of use only without any. */
    const Findings &findings() const;

    /** @return whether so many lines are wrong that no more are looked at. */
    bool isHopeless() const;

    /** @return the model that all items are for. */
    const std::string &model() const;

    std::uint32_t itemCount() const;

    /** @return items in each chunk but the last; fixed once the first chunk is full. */
    std::uint32_t itemsPerChunk() const;

    /** @return hash of the whole body; after end(). */
    std::uint64_t fingerprint() const;

private:
    void takeLine();
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
    std::uint32_t inChunk = 0;
    std::uint32_t perChunk = 0;
    ItemChunk open;
    std::string openIds;
    bool hasIds = false;
    std::deque<ItemChunk> full;
};

} // namespace Dogwoodkeel
