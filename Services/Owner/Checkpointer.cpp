#include <Services/Owner/Checkpointer.h>

#include <LibBase/Encoding.h>
#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibJournal/IdFilter.h>
#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds retryDelay{200};
constexpr std::size_t nonceBytes = 8;
/** A run is merged with newer ones of at least half its size; below this size, with any. */
constexpr std::size_t smallRun = 262144;

std::size_t sizeOf(const ResultRecord &result)
{
    return result.requestId.value().size() + result.answer.contentType.size() + result.answer.body.size();
}

} // namespace

/** State of the checkpoint that is being written. */
struct Checkpointer::Work
{
    ShardNumber shard;
    std::shared_ptr<ShardState> state;
    /** Results that were new when the checkpoint started. */
    std::vector<ResultRecord> fresh;
    /** All results of the new run: the new ones and those of the merged runs. */
    std::vector<ResultRecord> results;
    Checkpoint checkpoint;
    GroupNumber boundary;
    WallTime newest;
    std::vector<LoadedRun> kept;
    std::vector<LoadedRun> merged;
    std::vector<LoadedRun> expired;
    std::vector<std::string> blocksToRead;
    std::deque<std::pair<std::string, std::string>> puts;
    ShardRow row;
    std::function<void()> ended;
};

Checkpointer::Checkpointer(Platform &platform,
                           Scheduler &scheduler,
                           const Clock &clock,
                           SessionNumber self,
                           const JournalWriter &journal,
                           Options options)
    : platform(platform), scheduler(scheduler), clock(clock), self(self), journal(journal), options(options)
{
}

Checkpointer::~Checkpointer()
{
    *this->alive = false;
}

bool Checkpointer::isBusy() const
{
    return this->busy;
}

bool Checkpointer::isDue(const ShardState &state) const
{
    if (this->journal.isStalled() || this->journal.isFenced() || state.row.spans.empty()) {
        return false;
    }
    const bool hasFormerSpans = state.row.spans.size() > 1;
    const bool hasGrown = this->growth(state) >= this->options.groups;
    return hasFormerSpans || hasGrown || state.requests.unindexedBytes() >= this->options.bytes;
}

std::uint64_t Checkpointer::growth(const ShardState &state) const
{
    const std::uint64_t first = state.row.spans.back().first.value();
    const std::uint64_t next = this->journal.lastDurableGroup().value() + 1;
    return next > first ? next - first : 0;
}

bool Checkpointer::isWorthwhileBeforeHandover(const ShardState &state) const
{
    const bool canWrite = !this->journal.isStalled() && !this->journal.isFenced() && !state.row.spans.empty();
    return canWrite && this->growth(state) * this->options.handoverDivisor >= this->options.groups;
}

void Checkpointer::write(ShardNumber shard, std::shared_ptr<ShardState> state, std::function<void()> ended)
{
    this->busy = true;
    const auto work = std::make_shared<Work>();
    work->ended = std::move(ended);
    work->shard = shard;
    work->state = std::move(state);
    work->state->isCheckpointing = true;
    // All durable records are in the groups up to the last durable one, so the span of the row can start after it.
    work->boundary = this->journal.lastDurableGroup();
    work->newest = this->clock.wallNow();
    work->fresh = work->state->requests.unindexed();
    const auto take = [&work, shard](const std::vector<std::pair<RecordKind, std::string>> &records) {
        for (const auto &[kind, payload] : records) {
            work->checkpoint.records.push_back({shard, kind, payload});
        }
    };
    take(work->state->requests.checkpointRecords());
    take(work->state->jobs.checkpointRecords());
    this->chooseRuns(*work);
    this->readMerged(work);
}

void Checkpointer::chooseRuns(Work &work) const
{
    const WallTime oldest = this->clock.wallNow() - this->options.retention;
    for (const LoadedRun &run : work.state->index.runs()) {
        (run.run.newest < oldest ? work.expired : work.kept).push_back(run);
    }
    std::size_t total = 0;
    for (const ResultRecord &result : work.fresh) {
        total += sizeOf(result);
    }
    std::size_t count = 0;
    while (count < work.kept.size()) {
        const LoadedRun &run = work.kept[work.kept.size() - 1 - count];
        const bool isAlike = run.run.bytes <= std::max(total * 2, smallRun);
        if (!isAlike || total + run.run.bytes > this->options.mergeBytes) {
            break;
        }
        total += run.run.bytes;
        ++count;
    }
    if (count < this->options.runsToMerge) {
        return;
    }
    const auto first = work.kept.end() - static_cast<std::ptrdiff_t>(count);
    work.merged.assign(first, work.kept.end());
    work.kept.erase(first, work.kept.end());
    for (const LoadedRun &run : work.merged) {
        for (const BlockEntry &block : run.run.blocks) {
            work.blocksToRead.push_back(block.objectKey);
        }
    }
}

void Checkpointer::readMerged(const std::shared_ptr<Work> &work)
{
    if (work->blocksToRead.empty()) {
        this->build(work);
        return;
    }
    this->platform.objects().get(work->blocksToRead.back(), [this, work, alive = this->alive](const ObjectResult &result) {
        if (!*alive) {
            return;
        }
        auto block = result.outcome == ReadOutcome::Found ? decode<ResultBlock>(result.content) : std::nullopt;
        if (!block) {
            // Merging is not urgent, so the runs stay unmerged.
            work->results.clear();
            std::ranges::move(std::exchange(work->merged, {}), std::back_inserter(work->kept));
            this->build(work);
            return;
        }
        std::ranges::move(block->results, std::back_inserter(work->results));
        work->blocksToRead.pop_back();
        this->readMerged(work);
    });
}

void Checkpointer::build(const std::shared_ptr<Work> &work)
{
    std::ranges::copy(work->fresh, std::back_inserter(work->results));
    std::ranges::sort(work->results, {}, &ResultRecord::requestId);
    // The epoch in the names separates the objects of a paused former owner from those of this owner.
    const std::string nonce = std::to_string(work->state->row.epoch.value()) + '-' + randomHex(nonceBytes);
    if (!work->results.empty()) {
        this->buildRun(*work, nonce);
    }
    for (const LoadedRun &run : work->kept) {
        work->checkpoint.runs.push_back(run.key);
    }
    work->row = work->state->row;
    const bool isEmpty = work->checkpoint.records.empty() && work->checkpoint.runs.empty();
    work->row.checkpoint = isEmpty ? std::string() : JournalKeys::checkpoint(work->shard, nonce);
    if (!isEmpty) {
        work->puts.emplace_back(work->row.checkpoint, encode(work->checkpoint));
    }
    JournalSpan open = work->row.spans.back();
    open.first = std::max(open.first, GroupNumber(work->boundary.value() + 1));
    work->row.spans = {open};
    this->putNext(work);
}

void Checkpointer::buildRun(Work &work, const std::string &nonce) const
{
    LoadedRun loaded;
    loaded.key = JournalKeys::run(work.shard, nonce);
    loaded.run.newest = work.newest;
    IdFilter filter(work.results.size());
    ResultBlock block;
    std::size_t blockBytes = 0;
    const auto closeBlock = [&] {
        const std::string key = JournalKeys::block(work.shard, nonce, loaded.run.blocks.size());
        loaded.run.blocks.push_back({key, block.results.front().requestId, block.results.back().requestId});
        loaded.run.bytes += blockBytes;
        work.puts.emplace_back(key, encode(block));
        block.results.clear();
        blockBytes = 0;
    };
    for (ResultRecord &result : work.results) {
        filter.add(result.requestId.value());
        blockBytes += sizeOf(result);
        block.results.push_back(std::move(result));
        if (blockBytes >= this->options.blockBytes) {
            closeBlock();
        }
    }
    if (!block.results.empty()) {
        closeBlock();
    }
    work.results.clear();
    loaded.run.filter = filter.bytes();
    work.puts.emplace_back(loaded.key, encode(loaded.run));
    work.kept.push_back(std::move(loaded));
}

void Checkpointer::putNext(const std::shared_ptr<Work> &work)
{
    if (work->puts.empty()) {
        this->swapRow(work);
        return;
    }
    const auto &[key, content] = work->puts.front();
    this->platform.objects().putIfAbsent(key, content, [this, work, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        // The key contains the nonce of this checkpoint, so a refusal means that an earlier attempt of the same put took effect.
        if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Refused) {
            work->puts.pop_front();
            this->putNext(work);
            return;
        }
        this->retry(work, &Checkpointer::putNext);
    });
}

void Checkpointer::swapRow(const std::shared_ptr<Work> &work)
{
    Transaction transaction;
    transaction.conditions.push_back({JournalKeys::shard(work->shard), work->state->version});
    transaction.writes.push_back({JournalKeys::shard(work->shard), encode(work->row)});
    this->platform.tables().transact(transaction, [this, work, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        if (outcome == WriteOutcome::NotApplied) {
            this->retry(work, &Checkpointer::swapRow);
            return;
        }
        this->readBack(work);
    });
}

void Checkpointer::readBack(const std::shared_ptr<Work> &work)
{
    this->platform.tables().read(JournalKeys::shard(work->shard), [this, work, alive = this->alive](const RowResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome == ReadOutcome::Failed) {
            this->retry(work, &Checkpointer::readBack);
            return;
        }
        const auto row = result.outcome == ReadOutcome::Found ? decode<ShardRow>(result.row.value) : std::nullopt;
        if (row && *row == work->row) {
            this->adopt(*work, result.row.version);
        } else if (row && result.row.version == work->state->version) {
            // The lost write has not taken effect so far. Both writes have the same condition, so only one of them can.
            this->retry(work, &Checkpointer::swapRow);
            return;
        }
        this->finish(work);
    });
}

void Checkpointer::adopt(Work &work, RowVersion version)
{
    ShardState &state = *work.state;
    std::vector<std::string> unneeded;
    if (state.row.checkpoint != work.row.checkpoint && !state.row.checkpoint.empty()) {
        unneeded.push_back(state.row.checkpoint);
    }
    for (const std::vector<LoadedRun> *const runs : {&work.merged, &work.expired}) {
        for (const LoadedRun &run : *runs) {
            unneeded.push_back(run.key);
            for (const BlockEntry &block : run.run.blocks) {
                unneeded.push_back(block.objectKey);
            }
        }
    }
    state.row = work.row;
    state.version = version;
    state.index.replace(std::move(work.kept));
    state.requests.indexed(work.fresh);
    log(LogLevel::Info,
        "checkpoint written",
        {{"shard", static_cast<std::int64_t>(work.shard.value())},
         {"results", static_cast<std::int64_t>(work.fresh.size())},
         {"runs", static_cast<std::int64_t>(state.index.runs().size())}});
    for (const std::string &key : unneeded) {
        this->platform.objects().remove(key, [](WriteOutcome) {});
    }
    if (!std::exchange(state.isSwept, true)) {
        this->sweep(work.shard, work.state);
    }
}

void Checkpointer::sweep(ShardNumber shard, const std::shared_ptr<ShardState> &state)
{
    // A former owner that was lost while it wrote a checkpoint left objects that no row names. Only objects of earlier
    // epochs are checked: future rows refer only to objects that this row names and to those of this or later epochs. So
    // the deleted objects are never needed, even if this node is no longer the owner.
    this->platform.objects().list(JournalKeys::statePrefix(shard),
                                  [this, shard, state, alive = this->alive](const ObjectKeysResult &listed) {
                                      if (!*alive || listed.outcome != ReadOutcome::Found) {
                                          return;
                                      }
                                      std::set<std::string> named{state->row.checkpoint};
                                      for (const LoadedRun &run : state->index.runs()) {
                                          named.insert(run.key);
                                          for (const BlockEntry &block : run.run.blocks) {
                                              named.insert(block.objectKey);
                                          }
                                      }
                                      for (const std::string &key : listed.keys) {
                                          if (!named.contains(key) && JournalKeys::epochOf(shard, key) < state->row.epoch) {
                                              this->platform.objects().remove(key, [](WriteOutcome) {});
                                          }
                                      }
                                  });
}

void Checkpointer::finish(const std::shared_ptr<Work> &work)
{
    work->state->isCheckpointing = false;
    this->busy = false;
    if (work->ended) {
        work->ended();
    }
}

void Checkpointer::retry(const std::shared_ptr<Work> &work, void (Checkpointer::*step)(const std::shared_ptr<Work> &))
{
    if (this->journal.isFenced()) {
        this->finish(work);
        return;
    }
    this->scheduler.schedule(retryDelay, [this, work, step, alive = this->alive] {
        if (*alive) {
            (this->*step)(work);
        }
    });
}

} // namespace Dogwoodkeel
