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
 * Tracks the stored state of a job for its runner: the head as last read or written, and the results and failures to be added.
 *
 * A write may take effect although its answer is lost, and another runner may write concurrently. So the head is read again
 * after each failed write, and adopt() drops pending results that the head already lists.
 */
class JobLedger
{
public:
    /** The contents of one write to the job. */
    struct Write
    {
        JobHead head;
        std::vector<ItemResult> results;
    };

    /** Applies the head as read from the store. Failure counts never decrease. */
    void adopt(const JobHead &head, RowVersion version);

    /** Adds the result of an item, unless it already has one. @param item its number in the submission */
    void add(std::uint32_t item, ItemResult result);

    /** Records that an item failed at a replica. @return the number of its failures, including those of earlier runners */
    std::uint32_t recordFailure(std::uint32_t item);

    /** @return whether an item has a result, written or pending. */
    bool hasResult(std::uint32_t item) const;

    /** @return whether the stored head lists the result of an item. */
    bool isListed(std::uint32_t item) const;

    /** @return whether results or failures are to be written. */
    bool hasUnwrittenChanges() const;

    /** @return the next write, limited to the size of a transaction. */
    Write nextWrite();

    /** Applies a write that took effect. @param version the version of the head after the write */
    void confirm(const JobHead &written, RowVersion version);

    /** Records that a write may not have taken effect, so its contents are still to be written. */
    void recordFailedWrite();

    const JobHead &head() const;
    RowVersion version() const;

    /** @return whether the stored head lists the results of all items. */
    bool isComplete() const;

    /** @return the number of results that are not written yet. */
    std::size_t unwrittenResults() const;

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
