#include <LibBatch/Job.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

Job::Job(JobRecord record)
    : job(std::move(record)), assigned(this->job.itemCount), done(this->job.itemCount), failures(this->job.itemCount)
{
    this->job.itemsPerObject = std::max(this->job.itemsPerObject, 1U);
    this->pages.resize((this->job.itemCount + this->job.itemsPerObject - 1) / this->job.itemsPerObject);
}

const JobRecord &Job::record() const
{
    return this->job;
}

JobState Job::state() const
{
    if (this->doneCount == this->job.itemCount) {
        return JobState::Completed;
    }
    return this->cancelled ? JobState::Cancelled : JobState::Running;
}

std::uint32_t Job::succeeded() const
{
    return this->doneCount - this->failedCount;
}

std::uint32_t Job::failed() const
{
    return this->failedCount;
}

std::uint32_t Job::remaining() const
{
    return this->state() == JobState::Running ? this->job.itemCount - this->doneCount : 0;
}

std::uint32_t Job::waiting() const
{
    return this->isDurable && this->state() == JobState::Running ? this->job.itemCount - this->assignedCount : 0;
}

std::optional<ItemSpan> Job::lease(std::uint32_t limit, SessionNumber runner, SteadyTime end)
{
    if (this->waiting() == 0 || limit == 0) {
        return std::nullopt;
    }
    const std::uint32_t first = this->assigned.firstClear(this->firstWaiting);
    const std::uint32_t page = this->pageOf(first);
    const std::uint32_t pageEnd = this->firstOf(page) + this->sizeOf(page);
    std::uint32_t next = first;
    while (next < pageEnd && next - first < limit && !this->assigned.test(next)) {
        this->assigned.set(next++);
    }
    const ItemSpan span{first, next - first};
    this->assignedCount += span.count;
    this->firstWaiting = next;
    this->leaseTable.add(span, runner, end);
    return span;
}

void Job::returnItem(std::uint32_t index, SessionNumber runner)
{
    if (index < this->job.itemCount && this->leaseTable.isHeldBy(index, runner)) {
        this->leaseTable.remove(index);
        this->returnItems({{index, 1}});
    }
}

bool Job::confirmLease(std::uint32_t index, SessionNumber runner, SteadyTime end)
{
    if (this->state() != JobState::Running || index >= this->job.itemCount || this->done.test(index)) {
        return false;
    }
    if (this->leaseTable.isHeldBy(index, runner)) {
        return true;
    }
    if (this->assigned.test(index)) {
        return false;
    }
    this->assigned.set(index);
    ++this->assignedCount;
    this->leaseTable.add({index, 1}, runner, end);
    return true;
}

void Job::renew(const ItemSpan &span, SessionNumber runner, SteadyTime end)
{
    this->leaseTable.renew(span, runner, end);
}

bool Job::returnItems(const std::vector<ItemSpan> &spans)
{
    bool isAny = false;
    for (const ItemSpan &span : spans) {
        for (std::uint32_t index = span.first; index < span.first + span.count; ++index) {
            if (this->done.test(index) || this->pending.contains(index)) {
                continue;
            }
            this->assigned.clear(index);
            --this->assignedCount;
            this->firstWaiting = std::min(this->firstWaiting, index);
            isAny = true;
        }
    }
    return isAny;
}

bool Job::returnExpired(SteadyTime now)
{
    return this->returnItems(this->leaseTable.removeExpired(now));
}

bool Job::returnRunner(SessionNumber runner)
{
    return this->returnItems(this->leaseTable.removeRunner(runner));
}

const LeaseTable &Job::leases() const
{
    return this->leaseTable;
}

ItemVerdict Job::commit(const ItemRecord &result)
{
    if (result.index >= this->job.itemCount) {
        return ItemVerdict::Unknown;
    }
    if (this->done.test(result.index) || this->pending.contains(result.index)) {
        return ItemVerdict::Superseded;
    }
    this->pending.emplace(result.index, true);
    if (!this->assigned.test(result.index)) {
        this->assigned.set(result.index);
        ++this->assignedCount;
    }
    return ItemVerdict::Journal;
}

bool Job::markDone(std::uint32_t index, ItemStatus status)
{
    if (index >= this->job.itemCount || this->done.test(index)) {
        return false;
    }
    this->done.set(index);
    ++this->doneCount;
    if (!this->assigned.test(index)) {
        this->assigned.set(index);
        ++this->assignedCount;
    }
    if (status == ItemStatus::Failed) {
        this->failures.set(index);
        ++this->failedCount;
    }
    this->leaseTable.remove(index);
    this->pending.erase(index);
    ++this->pages[this->pageOf(index)].done;
    return true;
}

bool Job::apply(const ItemRecord &item)
{
    if (!this->markDone(item.index, item.status)) {
        return false;
    }
    this->bytesOfResults += item.body.size();
    this->results.emplace(item.index, Result{item.status, item.body});
    const std::uint32_t page = this->pageOf(item.index);
    return this->pages[page].done == this->sizeOf(page);
}

void Job::apply(const PageRecord &record)
{
    if (record.page >= this->pages.size()) {
        return;
    }
    Page &page = this->pages[record.page];
    page.isMoving = false;
    if (std::ranges::find(page.objects, record.objectKey) == page.objects.end()) {
        page.objects.push_back(record.objectKey);
    }
    const std::uint32_t first = this->firstOf(record.page);
    for (std::uint32_t i = 0; i < this->sizeOf(record.page); ++i) {
        if (!ItemBits::testSlice(record.done, i)) {
            continue;
        }
        this->markDone(first + i, ItemBits::testSlice(record.failed, i) ? ItemStatus::Failed : ItemStatus::Succeeded);
        const auto result = this->results.find(first + i);
        if (result != this->results.end()) {
            this->bytesOfResults -= result->second.body.size();
            this->results.erase(result);
        }
    }
}

void Job::cancel()
{
    this->cancelled = true;
    this->leaseTable.clear();
}

std::uint32_t Job::pageOf(std::uint32_t index) const
{
    return index / this->job.itemsPerObject;
}

std::uint32_t Job::pageCount() const
{
    return static_cast<std::uint32_t>(this->pages.size());
}

std::uint32_t Job::firstOf(std::uint32_t page) const
{
    return page * this->job.itemsPerObject;
}

std::uint32_t Job::sizeOf(std::uint32_t page) const
{
    return std::min(this->job.itemsPerObject, this->job.itemCount - this->firstOf(page));
}

ItemRecord Job::recordOf(std::uint32_t index, const Result &result) const
{
    return {this->job.jobId, index, result.status, result.body};
}

std::optional<PageDraft> Job::draft(std::uint32_t page)
{
    PageDraft draft{this->job.jobId, page, {}};
    const std::uint32_t end = this->firstOf(page) + this->sizeOf(page);
    for (auto result = this->results.lower_bound(this->firstOf(page)); result != this->results.end() && result->first < end;
         ++result) {
        draft.results.push_back(this->recordOf(result->first, result->second));
    }
    if (draft.results.empty() || this->pages[page].isMoving) {
        return std::nullopt;
    }
    this->pages[page].isMoving = true;
    return draft;
}

void Job::discardDraft(std::uint32_t page)
{
    this->pages[page].isMoving = false;
}

PageOfResults Job::resultsFrom(std::uint32_t from) const
{
    PageOfResults found;
    found.state = this->state();
    found.end = this->job.itemCount;
    if (from >= this->job.itemCount) {
        return found;
    }
    std::uint32_t page = this->pageOf(from);
    while (page < this->pages.size() && this->pages[page].done == 0) {
        ++page;
    }
    if (page == this->pages.size()) {
        return found;
    }
    found.end = this->firstOf(page) + this->sizeOf(page);
    found.objects = this->pages[page].objects;
    const std::uint32_t first = std::max(from, this->firstOf(page));
    for (auto result = this->results.lower_bound(first); result != this->results.end() && result->first < found.end; ++result) {
        found.inMemory.push_back(this->recordOf(result->first, result->second));
    }
    return found;
}

std::size_t Job::resultBytes() const
{
    return this->bytesOfResults;
}

std::vector<std::uint32_t> Job::movablePages() const
{
    std::vector<std::uint32_t> found;
    for (const auto &[index, result] : this->results) {
        const std::uint32_t page = this->pageOf(index);
        if ((found.empty() || found.back() != page) && !this->pages[page].isMoving) {
            found.push_back(page);
        }
    }
    return found;
}

std::vector<ItemRecord> Job::resultsInMemory() const
{
    std::vector<ItemRecord> records;
    for (const auto &[index, result] : this->results) {
        records.push_back(this->recordOf(index, result));
    }
    return records;
}

std::vector<PageRecord> Job::movedPages() const
{
    std::vector<PageRecord> records;
    for (std::uint32_t page = 0; page < this->pages.size(); ++page) {
        const Page &moved = this->pages[page];
        if (moved.objects.empty()) {
            continue;
        }
        // With several objects, each record has the bits of all of them: which object holds a result does not matter for its
        // state.
        std::string bits = this->done.slice(this->firstOf(page), this->sizeOf(page));
        const std::uint32_t end = this->firstOf(page) + this->sizeOf(page);
        for (auto result = this->results.lower_bound(this->firstOf(page)); result != this->results.end() && result->first < end;
             ++result) {
            ItemBits::clearInSlice(bits, result->first - this->firstOf(page));
        }
        for (const std::string &object : moved.objects) {
            records.push_back(
                {this->job.jobId, page, object, bits, this->failures.slice(this->firstOf(page), this->sizeOf(page))});
        }
    }
    return records;
}

bool Job::isCancelled() const
{
    return this->cancelled;
}

} // namespace Dogwoodkeel
