#include <Services/Gateway/JobCleaner.h>

#include <LibBase/Log.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::seconds checkInterval{30};
/** Interval between two jobs that are examined; limits the load that cleaning puts on the store. */
constexpr std::chrono::milliseconds examinationInterval{50};
/** Jobs are kept for this long beyond their retention, as a repeated submission may arrive late. */
constexpr std::chrono::seconds margin{60};
/** Max removals in one transaction. */
constexpr std::size_t maxRemovals = 90;

} // namespace

JobCleaner::JobCleaner(
    Scheduler &scheduler, const StoreClock &storeClock, RowStore &store, std::chrono::milliseconds retention, Hooks hooks)
    : scheduler(scheduler), storeClock(storeClock), store(store), retention(retention), hooks(std::move(hooks))
{
    this->timer = scheduler.schedule(checkInterval, [this] {
        this->check();
    });
}

JobCleaner::~JobCleaner()
{
    *this->alive = false;
    this->scheduler.cancel(this->timer);
}

void JobCleaner::check()
{
    this->timer = this->scheduler.schedule(checkInterval, [this] {
        this->check();
    });
    if (this->hooks.isCoordinator() && this->waiting.empty()) {
        this->list({});
    }
}

void JobCleaner::list(const std::string &after)
{
    this->store.listParts(JobRows::jobTable, after, [this, alive = this->alive](const RowPartsResult &result) {
        if (!*alive || result.outcome != ReadOutcome::Found || result.parts.empty()) {
            return;
        }
        const bool isIdle = this->waiting.empty();
        for (const std::string &part : result.parts) {
            this->waiting.emplace_back(part);
        }
        if (isIdle) {
            this->examineNext();
        }
        this->list(result.parts.back());
    });
}

void JobCleaner::examineNext()
{
    if (this->waiting.empty()) {
        return;
    }
    const JobId job = this->waiting.front();
    this->waiting.pop_front();
    this->examine(job);
    this->scheduler.schedule(examinationInterval, [this, alive = this->alive] {
        if (*alive) {
            this->examineNext();
        }
    });
}

bool JobCleaner::isExpired(StoreTime submitted) const
{
    return this->storeClock.now().value_or(submitted) - submitted > this->retention + margin;
}

void JobCleaner::examine(const JobId &job)
{
    if (this->hooks.isOpen(job)) {
        return;
    }
    const auto known = this->submitted.find(job);
    if (known != this->submitted.end()) {
        if (this->isExpired(known->second)) {
            this->remove(job);
        }
        return;
    }
    this->store.read(JobRows::headOnly(job), [this, alive = this->alive, job](const RowRangeResult &result) {
        const auto head = *alive ? JobRows::readHead(result.rows, job) : std::nullopt;
        // The table of open jobs does not suffice: a node that has just started may not have read it yet.
        const bool isClosed = head && (head->first.isEnded || head->first.finishedItems.size() >= head->first.total);
        if (isClosed) {
            this->submitted[job] = head->first.submitted;
        } else if (!head && *alive && result.outcome == ReadOutcome::Found) {
            // Remains of a job whose removal was interrupted, or progress that was stored after the head was removed.
            this->remove(job);
        }
    });
}

void JobCleaner::remove(const JobId &job)
{
    this->store.read(JobRows::allOf(job), [this, alive = this->alive, job](const RowRangeResult &result) {
        if (*alive && result.outcome == ReadOutcome::Found && !result.rows.empty()) {
            this->removeRows(job, result.rows);
        }
    });
}

void JobCleaner::removeRows(const JobId &job, const std::vector<StoredRow> &rows)
{
    // The head is removed last: as long as it exists, an interrupted removal is repeated.
    const RowKey head = JobRows::head(job);
    const bool fitsAll = rows.size() <= maxRemovals;
    RowTransaction transaction;
    for (const StoredRow &row : rows) {
        const bool isDeferred = row.key == head && !fitsAll;
        if (!isDeferred && transaction.removals.size() < maxRemovals) {
            transaction.removals.push_back(row.key);
        }
    }
    this->store.transact(std::move(transaction), [this, alive = this->alive, job, fitsAll](const RowTransactionResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome == WriteOutcome::Done && !fitsAll) {
            this->remove(job);
            return;
        }
        if (result.outcome == WriteOutcome::Done) {
            this->submitted.erase(job);
            this->store.removeObject(JobRows::contentObject(job), [](WriteOutcome) {});
            log(LogLevel::Info, "rows of an old job removed", {{"job", job.value()}});
        }
    });
}

} // namespace Dogwoodkeel
