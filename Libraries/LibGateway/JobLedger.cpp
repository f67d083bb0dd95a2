#include <LibGateway/JobLedger.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A transaction of the store holds a hundred entries and a megabyte. A result takes one row, a long one several. */
constexpr std::size_t maxResultsPerWrite = 20;
constexpr std::size_t maxOutputBytesPerWrite = 400'000;

} // namespace

void JobLedger::adopt(const JobHead &head, RowVersion version)
{
    this->setHead(head, version);
    std::map<std::uint32_t, std::uint32_t> written;
    for (const std::uint32_t item : head.failures) {
        ++written[item];
    }
    for (const auto &[item, count] : written) {
        std::uint32_t &known = this->failures[item];
        known = std::max(known, count);
    }
}

void JobLedger::setHead(const JobHead &head, RowVersion version)
{
    this->current = head;
    this->currentVersion = version;
    this->listed = {head.finishedItems.begin(), head.finishedItems.end()};
    std::erase_if(this->pending, [this](const auto &entry) {
        return this->listed.contains(entry.first);
    });
}

void JobLedger::add(std::uint32_t item, ItemResult result)
{
    if (!this->hasResult(item)) {
        this->pending.emplace_back(item, std::move(result));
    }
}

std::uint32_t JobLedger::recordFailure(std::uint32_t item)
{
    this->hasNewFailures = true;
    return ++this->failures[item];
}

bool JobLedger::hasResult(std::uint32_t item) const
{
    const bool isPending = std::ranges::any_of(this->pending, [item](const auto &entry) {
        return entry.first == item;
    });
    return isPending || this->isListed(item);
}

bool JobLedger::isListed(std::uint32_t item) const
{
    return this->listed.contains(item);
}

bool JobLedger::hasUnwrittenChanges() const
{
    return !this->pending.empty() || this->hasNewFailures;
}

JobLedger::Write JobLedger::nextWrite()
{
    Write write;
    write.head = this->current;
    std::size_t bytes = 0;
    for (const auto &[item, result] : this->pending) {
        bytes += result.output.size();
        const bool isOver = write.results.size() >= maxResultsPerWrite || bytes > maxOutputBytesPerWrite;
        if (isOver && !write.results.empty()) {
            break;
        }
        write.head.finishedItems.push_back(item);
        write.results.push_back(result);
    }
    write.head.failures.clear();
    for (const auto &[item, count] : this->failures) {
        write.head.failures.insert(write.head.failures.end(), count, item);
    }
    this->hasNewFailures = false;
    return write;
}

void JobLedger::confirm(const JobHead &written, RowVersion version)
{
    this->setHead(written, version);
}

void JobLedger::recordFailedWrite()
{
    this->hasNewFailures = true;
}

const JobHead &JobLedger::head() const
{
    return this->current;
}

RowVersion JobLedger::version() const
{
    return this->currentVersion;
}

bool JobLedger::isComplete() const
{
    return this->current.finishedItems.size() >= this->current.total;
}

std::size_t JobLedger::unwrittenResults() const
{
    return this->pending.size();
}

} // namespace Dogwoodkeel
