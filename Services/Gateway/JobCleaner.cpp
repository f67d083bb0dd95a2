#include <Services/Gateway/JobCleaner.h>

#include <LibBase/Log.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::seconds lookInterval{30};
/** Between two jobs that are examined, so that cleaning takes a small part of the store's rate. */
constexpr std::chrono::milliseconds pace{50};
/** A repeat of a submission may come late: kept beyond what was promised. */
constexpr std::chrono::seconds margin{60};
/** Entries that one transaction takes. */
constexpr std::size_t mostRemovals = 90;

} // namespace

JobCleaner::JobCleaner(
    Scheduler &scheduler, const StoreClock &storeClock, RowStore &store, std::chrono::milliseconds kept, Hooks hooks)
    : scheduler(scheduler), storeClock(storeClock), store(store), kept(kept), hooks(std::move(hooks))
{
    this->timer = scheduler.schedule(lookInterval, [this] {
        this->look();
    });
}

JobCleaner::~JobCleaner()
{
    *this->alive = false;
    this->scheduler.cancel(this->timer);
}

void JobCleaner::look()
{
    this->timer = this->scheduler.schedule(lookInterval, [this] {
        this->look();
    });
    if (this->hooks.isOurDuty() && this->waiting.empty()) {
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
    this->scheduler.schedule(pace, [this, alive = this->alive] {
        if (*alive) {
            this->examineNext();
        }
    });
}

bool JobCleaner::isOver(StoreTime submitted) const
{
    return this->storeClock.now().value_or(submitted) - submitted > this->kept + margin;
}

void JobCleaner::examine(const JobId &job)
{
    if (this->hooks.isOpen(job)) {
        return;
    }
    const auto known = this->submitted.find(job);
    if (known != this->submitted.end()) {
        if (this->isOver(known->second)) {
            this->remove(job);
        }
        return;
    }
    this->store.read(JobRows::headOnly(job), [this, alive = this->alive, job](const RowRangeResult &result) {
        const auto head = *alive ? JobRows::readHead(result.rows, job) : std::nullopt;
        // Not only the word of the open jobs' table counts: a node that has just started may not have read it yet.
        const bool isClosed = head && (head->first.isEnded || head->first.listed.size() >= head->first.total);
        if (isClosed) {
            this->submitted[job] = head->first.submitted;
        } else if (!head && *alive && result.outcome == ReadOutcome::Found) {
            // What is left of a job whose removal was broken off: the head goes last but for progress that came late.
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
    // The head goes last: as long as it is there, a removal that is broken off is taken up again.
    const RowKey head = JobRows::head(job);
    const bool fitsAll = rows.size() <= mostRemovals;
    RowTransaction transaction;
    for (const StoredRow &row : rows) {
        const bool isHeld = row.key == head && !fitsAll;
        if (!isHeld && transaction.removals.size() < mostRemovals) {
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
