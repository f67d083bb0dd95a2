#pragma once

#include <LibBase/Clock.h>
#include <LibBatch/ItemBits.h>
#include <LibBatch/LeaseTable.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Decision on the result of an item. */
enum class ItemVerdict {
    /** The first result; the owner writes it to the journal. */
    Journal,
    /** The item already has a result, or one is being journalled. */
    Superseded,
    /** The job or item does not exist. */
    Unknown,
};

/** Results of one page that are to be moved from memory to an object. */
struct PageDraft
{
    JobId jobId;
    std::uint32_t page = 0;
    std::vector<ItemRecord> results;
};

/** Locations of the results of one page; the reader merges them by item index. */
struct PageOfResults
{
    JobState state = JobState::Absent;
    std::vector<ItemRecord> inMemory;
    std::vector<std::string> objects;
    /** Index of the first item after the page. */
    std::uint32_t end = 0;
};

/**
 * Tracks which items of one batch job are waiting, leased or done. It uses three bits per item; only leases, and results that
 * have not been moved to objects yet, take more memory.
 *
 * A page consists of the items of one input object. When all items of a page are done, their results are moved to an object
 * together.
 */
class Job
{
public:
    explicit Job(JobRecord record);

    const JobRecord &record() const;
    JobState state() const;
    std::uint32_t succeeded() const;
    std::uint32_t failed() const;
    std::uint32_t remaining() const;

    /** @return number of items that may be leased, regardless of holdUntil. */
    std::uint32_t waiting() const;

    /** Whether the job is in the journal. */
    bool isDurable = false;
    /** Until when no items are leased out, so that runners can first report the leases they got from an earlier owner. */
    SteadyTime holdUntil{};
    /** Whether a warning that the job will be late was logged. */
    bool isWarned = false;
    /** Waiting items of this job that are included in the total of the table. */
    std::uint32_t waitingInTotal = 0;

    /** Leases consecutive waiting items of one page. */
    std::optional<ItemSpan> lease(std::uint32_t limit, SessionNumber runner, SteadyTime end);

    /** Ends the lease of a runner on an item; the item waits again. */
    void returnItem(std::uint32_t index, SessionNumber runner);

    /**
     * Confirms the lease of a runner that reports an item, possibly leased out by an earlier owner.
     * @return whether the runner may continue with the item
     */
    bool confirmLease(std::uint32_t index, SessionNumber runner, SteadyTime end);

    /** Extends the leases of a runner on items that it reported. */
    void renew(const ItemSpan &span, SessionNumber runner, SteadyTime end);

    /** Ends expired leases. @return whether any items wait again */
    bool returnExpired(SteadyTime now);
    /** Ends all leases of a runner. @return whether any items wait again */
    bool returnRunner(SessionNumber runner);

    const LeaseTable &leases() const;

    ItemVerdict commit(const ItemRecord &result);

    /** Applies a durable result. @return whether its page is now complete and can be moved */
    bool apply(const ItemRecord &item);
    void apply(const PageRecord &page);
    void cancel();

    std::uint32_t pageOf(std::uint32_t index) const;
    std::uint32_t pageCount() const;

    /** @return the results of a page that are in memory, and marks the page as being moved; nothing if there are none. */
    std::optional<PageDraft> draft(std::uint32_t page);

    /** Reverts draft() after the draft could not be written. */
    void discardDraft(std::uint32_t page);

    /** @return locations of the results of the first page with results, starting at an item. */
    PageOfResults resultsFrom(std::uint32_t from) const;

    /** @return size of the results in memory, in bytes. */
    std::size_t resultBytes() const;

    /** @return pages with results in memory that are not being moved. */
    std::vector<std::uint32_t> movablePages() const;

    /** @return records that restore the results of this job, for a checkpoint. */
    std::vector<ItemRecord> resultsInMemory() const;
    std::vector<PageRecord> movedPages() const;
    bool isCancelled() const;

private:
    struct Result
    {
        ItemStatus status = ItemStatus::Succeeded;
        std::string body;
    };

    struct Page
    {
        /** Objects that results were moved to; more than one only if results were moved before the page was complete. */
        std::vector<std::string> objects;
        std::uint32_t done = 0;
        bool isMoving = false;
    };

    std::uint32_t firstOf(std::uint32_t page) const;
    std::uint32_t sizeOf(std::uint32_t page) const;
    bool markDone(std::uint32_t index, ItemStatus status);
    bool returnItems(const std::vector<ItemSpan> &spans);
    ItemRecord recordOf(std::uint32_t index, const Result &result) const;

    JobRecord job;
    bool cancelled = false;
    /** Items that are not waiting: leased, done, or with a result that is being journalled. */
    ItemBits assigned;
    ItemBits done;
    ItemBits failures;
    std::uint32_t assignedCount = 0;
    std::uint32_t doneCount = 0;
    std::uint32_t failedCount = 0;
    /** No item before this index is waiting. */
    std::uint32_t firstWaiting = 0;
    LeaseTable leaseTable;
    /** Items whose result is being journalled. */
    std::map<std::uint32_t, bool> pending;
    std::map<std::uint32_t, Result> results;
    std::size_t bytesOfResults = 0;
    std::vector<Page> pages;
};

} // namespace Dogwoodkeel
