#include <LibGateway/AnswerBudget.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Dogwoodkeel
{

AnswerBudget::Share::Share(AnswerBudget &budget, std::function<void()> cut) : budget(budget), cut(std::move(cut))
{
}

AnswerBudget::Share::~Share()
{
    this->release();
}

void AnswerBudget::Share::record(std::size_t bytes)
{
    this->budget.change(*this, bytes);
    this->budget.cutLargest();
}

void AnswerBudget::Share::release()
{
    this->budget.change(*this, 0);
}

AnswerBudget::AnswerBudget(std::size_t maxBytes) : maxBytes(maxBytes)
{
}

std::size_t AnswerBudget::total() const
{
    return this->totalBytes;
}

void AnswerBudget::change(Share &share, std::size_t bytes)
{
    if (bytes == share.bytes) {
        return;
    }
    const auto [first, last] = this->shares.equal_range(share.bytes);
    const auto found = std::find_if(first, last, [&share](const auto &entry) {
        return entry.second == &share;
    });
    if (found != last) {
        this->shares.erase(found);
    }
    this->totalBytes += bytes;
    this->totalBytes -= share.bytes;
    share.bytes = bytes;
    if (bytes > 0) {
        this->shares.emplace(bytes, &share);
    }
}

void AnswerBudget::cutLargest()
{
    while (this->totalBytes > this->maxBytes && !this->shares.empty()) {
        Share &largest = *std::prev(this->shares.end())->second;
        // Its memory no longer counts, whatever its owner does.
        this->change(largest, 0);
        // The share may end with its answer.
        const std::function<void()> cut = largest.cut;
        cut();
    }
}

} // namespace Dogwoodkeel
