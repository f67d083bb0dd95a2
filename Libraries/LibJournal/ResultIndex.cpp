#include <LibJournal/ResultIndex.h>

#include <LibJournal/IdFilter.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

ResultIndex::ResultIndex(ObjectStore &objects) : objects(objects)
{
}

ResultIndex::~ResultIndex()
{
    *this->alive = false;
}

void ResultIndex::add(LoadedRun run)
{
    this->loaded.push_back(std::move(run));
    ++this->changes;
}

void ResultIndex::replace(std::vector<LoadedRun> runs)
{
    this->loaded = std::move(runs);
    ++this->changes;
}

std::uint64_t ResultIndex::generation() const
{
    return this->changes;
}

const std::vector<LoadedRun> &ResultIndex::runs() const
{
    return this->loaded;
}

const BlockEntry *ResultIndex::blockOf(const ResultRun &run, const RequestId &id)
{
    if (!IdFilter::mayContain(run.filter, id.value())) {
        return nullptr;
    }
    const auto block = std::ranges::lower_bound(run.blocks, id, {}, &BlockEntry::last);
    return block != run.blocks.end() && block->first <= id ? &*block : nullptr;
}

bool ResultIndex::mayContain(const RequestId &id) const
{
    return std::ranges::any_of(this->loaded, [&id](const LoadedRun &each) {
        return blockOf(each.run, id) != nullptr;
    });
}

void ResultIndex::find(const RequestId &id, LookedUp lookedUp)
{
    const auto blocks = std::make_shared<std::vector<std::string>>();
    for (const LoadedRun &each : this->loaded) {
        if (const BlockEntry *const block = blockOf(each.run, id)) {
            blocks->push_back(block->objectKey);
        }
    }
    this->readNext(blocks, id, std::move(lookedUp));
}

void ResultIndex::readNext(const std::shared_ptr<std::vector<std::string>> &blocks, const RequestId &id, LookedUp lookedUp)
{
    if (blocks->empty()) {
        lookedUp(ReadOutcome::Absent, std::nullopt);
        return;
    }
    const std::string key = std::move(blocks->back());
    blocks->pop_back();
    this->objects.get(key, [this, blocks, id, lookedUp = std::move(lookedUp), alive = this->alive](const ObjectResult &result) {
        if (!*alive) {
            lookedUp(ReadOutcome::Failed, std::nullopt);
            return;
        }
        const auto block = result.outcome == ReadOutcome::Found ? decode<ResultBlock>(result.content) : std::nullopt;
        if (!block) {
            // NOTE: An absent object also counts as a failure: the runs may have been merged since, so the id may exist.
            lookedUp(ReadOutcome::Failed, std::nullopt);
            return;
        }
        const auto found = std::ranges::lower_bound(block->results, id, {}, &ResultRecord::requestId);
        if (found != block->results.end() && found->requestId == id) {
            lookedUp(ReadOutcome::Found, *found);
            return;
        }
        this->readNext(blocks, id, lookedUp);
    });
}

} // namespace Dogwoodkeel
