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

/** What the owner does with an item's result. */
enum class ItemVerdict {
    /** The first result: journal it. */
    Journal,
    /** There is one already, or one is being journalled. */
    Superseded,
    /** No such job or item. */
    Unknown,
};

/** Results that are to be moved out of memory into an object. */
struct PageDraft
{
    JobId jobId;
    std::uint32_t page = 0;
    std::vector<ItemRecord> results;
};

/** Where the results of a part of a job are: to be merged in the order of their index. */
struct PageOfResults
{
    JobState state = JobState::Absent;
    std::vector<ItemRecord> inMemory;
    std::vector<std::string> objects;
    /** First item behind this part. */
    std::uint32_t end = 0;
};

/**
 * One batch job: which items wait, are leased or done. Three bits an item; only the results that are not yet moved to
 * objects and the leases take more.
 *
 * Items are kept in pages of as many as one object holds, and so are results: when a page is complete its results move to
 * an object together.
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

    /** @return items that may be leased, not regarding holdUntil. */
    std::uint32_t waiting() const;

    /** The job is journalled. */
    bool isDurable = false;
    /** No items are handed out before: runners of an earlier owner first tell what they hold. */
    SteadyTime holdUntil{};
    /** Warned of once as being late. */
    bool isWarned = false;
    /** What the table's sum of waiting items has of this job. */
    std::uint32_t waitingInTotal = 0;

    /** Lease a run of waiting items that stand in one object. */
    std::optional<ItemSpan> lease(std::uint32_t limit, SessionNumber runner, SteadyTime end);

    /** An item that is leased to the runner waits again. */
    void returnItem(std::uint32_t index, SessionNumber runner);

    /**
     * A runner tells that it has an item, leased perhaps by an earlier owner.
     * @return whether it may go on with it
     */
    bool confirmLease(std::uint32_t index, SessionNumber runner, SteadyTime end);

    /** Extend a runner's leases on items that it told of. */
    void renew(const ItemSpan &span, SessionNumber runner, SteadyTime end);

    /** @return whether any items wait again. */
    bool returnExpired(SteadyTime now);
    bool returnRunner(SessionNumber runner);

    const LeaseTable &leases() const;

    ItemVerdict commit(const ItemRecord &result);

    /** @return whether its page is complete now and can be moved. */
    bool apply(const ItemRecord &item);
    void apply(const PageRecord &page);
    void cancel();

    std::uint32_t pageOf(std::uint32_t index) const;
    std::uint32_t pageCount() const;

    /** @return the page's results that are in memory, marked as being moved; nothing if there are none. */
    std::optional<PageDraft> draft(std::uint32_t page);

    /** The draft could not be written. */
    void discardDraft(std::uint32_t page);

    /** @return where the results of the first page that has some, from an item on, are. */
    PageOfResults resultsFrom(std::uint32_t from) const;

    /** @return bytes of results in memory. */
    std::size_t resultBytes() const;

    /** @return pages with results in memory that are not being moved. */
    std::vector<std::uint32_t> movablePages() const;

    /** @return records that restore this job, for a checkpoint. */
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
        /** Objects that results were moved to; more than one only if some were moved before the page was complete. */
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
    /** Items that are leased, whose result is being journalled, or that are done. */
    ItemBits assigned;
    ItemBits done;
    ItemBits failures;
    std::uint32_t assignedCount = 0;
    std::uint32_t doneCount = 0;
    std::uint32_t failedCount = 0;
    /** No item before it waits. */
    std::uint32_t firstWaiting = 0;
    LeaseTable leaseTable;
    /** Items whose result is on its way to the journal. */
    std::map<std::uint32_t, bool> pending;
    std::map<std::uint32_t, Result> results;
    std::size_t bytesOfResults = 0;
    std::vector<Page> pages;
};

} // namespace Dogwoodkeel
