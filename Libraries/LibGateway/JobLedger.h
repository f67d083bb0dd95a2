#pragma once

#include <LibGateway/BatchTypes.h>
#include <LibPlatform/Outcomes.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Dogwoodkeel
{

/**
 * What a runner knows of its job: the head as it was read or written last, and what is to be added to it.
 *
 * A write may take effect without an answer, and another runner may write meanwhile. So after each write that failed the
 * head is read again, and adopt() drops from what is to be added what is listed already.
 */
class JobLedger
{
public:
    /** What the next write adds to the job. */
    struct Write
    {
        JobHead head;
        std::vector<ItemResult> results;
    };

    /** Take the head as it was read. */
    void adopt(const JobHead &head, RowVersion version);

    /** An item has its result. @param item its number in the submission */
    void add(std::uint32_t item, ItemResult result);

    /** An item failed at a replica. @return how often it has, by this runner's count and those before it */
    std::uint32_t fail(std::uint32_t item);

    /** @return whether an item has a result, listed or not. */
    bool hasResult(std::uint32_t item) const;

    /** @return whether an item is listed. */
    bool isListed(std::uint32_t item) const;

    /** @return whether there is something to write. */
    bool hasNews() const;

    /** @return what to write next. */
    Write nextWrite();

    /** A write took effect. @param version that the head has by it */
    void confirm(const JobHead &written, RowVersion version);

    /** A write may not have taken effect: what it held is still to be written. */
    void noteFailedWrite();

    const JobHead &head() const;
    RowVersion version() const;

    /** @return whether all items are listed. */
    bool isComplete() const;

    /** @return results that are not written yet. */
    std::size_t unwritten() const;

private:
    void setHead(const JobHead &head, RowVersion version);

    JobHead current;
    RowVersion currentVersion = 0;
    std::set<std::uint32_t> listed;
    std::vector<std::pair<std::uint32_t, ItemResult>> pending;
    std::map<std::uint32_t, std::uint32_t> failures;
    bool hasNewFailures = false;
};

} // namespace Dogwoodkeel
