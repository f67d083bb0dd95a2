#include <Services/Owner/ShardRecovery.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds loadRetry{50};

bool isOpen(const JournalSpan &span)
{
    return span.last.value() == 0;
}

/** Joins spans of one journal that overlap or touch. Groups in the gaps between spans may have been deleted. */
std::vector<JournalSpan> joined(std::vector<JournalSpan> spans)
{
    std::ranges::sort(spans, {}, &JournalSpan::first);
    std::vector<JournalSpan> result;
    for (const JournalSpan &span : spans) {
        const bool touches = !result.empty() && (isOpen(result.back()) || span.first.value() <= result.back().last.value() + 1);
        if (!touches) {
            result.push_back(span);
            continue;
        }
        JournalSpan &into = result.back();
        into.last = isOpen(into) || isOpen(span) ? GroupNumber(0) : std::max(into.last, span.last);
    }
    return result;
}

} // namespace

ShardRecovery::ShardRecovery(Platform &platform, Scheduler &scheduler, SessionNumber self, std::vector<ReadShard> shards)
    : platform(platform), scheduler(scheduler), self(self), wanted(std::move(shards))
{
}

const std::vector<ReadShard> &ShardRecovery::shards() const
{
    return this->wanted;
}

std::map<SessionNumber, std::vector<JournalSpan>> ShardRecovery::wantedSpans() const
{
    std::map<SessionNumber, std::vector<JournalSpan>> spans;
    for (const ReadShard &shard : this->wanted) {
        for (const JournalSpan &span : shard.row.spans) {
            spans[span.session].push_back(span);
        }
    }
    return spans;
}

void ShardRecovery::start(std::function<void(bool)> recovered)
{
    this->recovered = std::move(recovered);
    std::vector<JournalSpan> all;
    for (auto &[session, spans] : this->wantedSpans()) {
        std::ranges::copy(joined(std::move(spans)), std::back_inserter(all));
    }
    this->pending = all.size() + 1;
    for (const ReadShard &shard : this->wanted) {
        if (!shard.row.checkpoint.empty()) {
            ++this->pending;
            this->loadCheckpoint(shard.shard, shard.row.checkpoint);
        }
    }
    for (const JournalSpan &span : all) {
        this->recoverSpan(span);
    }
    this->finishOne(true);
}

template <typename Content>
void ShardRecovery::load(const std::string &key, std::function<void(std::optional<Content>)> loaded)
{
    this->platform.objects().get(
        key, [self = this->shared_from_this(), key, loaded = std::move(loaded)](const ObjectResult &result) {
            if (result.outcome == ReadOutcome::Absent) {
                loaded(std::nullopt);
                return;
            }
            auto content = result.outcome == ReadOutcome::Found ? decode<Content>(result.content) : std::nullopt;
            if (content) {
                loaded(std::move(content));
                return;
            }
            self->scheduler.schedule(loadRetry, [self, key, loaded] {
                self->load<Content>(key, loaded);
            });
        });
}

void ShardRecovery::loadCheckpoint(ShardNumber shard, const std::string &key)
{
    this->load<Checkpoint>(key, [this, shard](std::optional<Checkpoint> checkpoint) {
        if (!checkpoint) {
            this->finishOne(false);
            return;
        }
        this->pending += checkpoint->runs.size();
        LoadedCheckpoint &loaded = this->checkpoints[shard];
        loaded.checkpoint = std::move(*checkpoint);
        for (const std::string &run : loaded.checkpoint.runs) {
            this->loadRun(shard, run);
        }
        this->finishOne(true);
    });
}

void ShardRecovery::loadRun(ShardNumber shard, const std::string &key)
{
    this->load<ResultRun>(key, [this, shard, key](std::optional<ResultRun> run) {
        if (run) {
            this->checkpoints[shard].runs[key] = std::move(*run);
        }
        this->finishOne(run.has_value());
    });
}

void ShardRecovery::recoverSpan(const JournalSpan &span)
{
    const auto recovery
        = std::make_shared<JournalRecovery>(this->platform, this->scheduler, this->self, span.session, span.first, span.last);
    recovery->start([self = this->shared_from_this(), span](RecoveredJournal journal) {
        Groups &groups = self->journals[span.session];
        for (RecoveredGroup &each : journal.groups) {
            groups[each.number] = std::move(each.group);
        }
        if (isOpen(span)) {
            self->ends[span.session] = journal.last;
        }
        self->finishOne(journal.isComplete);
    });
}

void ShardRecovery::finishOne(bool isComplete)
{
    this->complete = this->complete && isComplete;
    if (--this->pending == 0) {
        std::exchange(this->recovered, nullptr)(this->complete);
    }
}

ShardRow ShardRecovery::closedRow(const ReadShard &shard) const
{
    ShardRow row = shard.row;
    for (JournalSpan &span : row.spans) {
        if (isOpen(span)) {
            span.last = this->ends.at(span.session);
        }
    }
    // A span without a group is dropped; otherwise rows would grow with every owner.
    std::erase_if(row.spans, [](const JournalSpan &span) {
        return span.last < span.first;
    });
    return row;
}

void ShardRecovery::replay(const ReadShard &shard, const ShardRow &row, ShardState &state) const
{
    const auto loaded = this->checkpoints.find(shard.shard);
    if (loaded != this->checkpoints.end()) {
        for (const JournalRecord &record : loaded->second.checkpoint.records) {
            state.replay(record);
        }
        for (const std::string &key : loaded->second.checkpoint.runs) {
            state.index.add({key, loaded->second.runs.at(key)});
        }
    }
    for (const JournalSpan &span : row.spans) {
        const auto journal = this->journals.find(span.session);
        if (journal == this->journals.end()) {
            continue;
        }
        const Groups &groups = journal->second;
        for (auto group = groups.lower_bound(span.first); group != groups.end() && group->first <= span.last; ++group) {
            for (const JournalRecord &record : group->second.records) {
                if (record.shard == shard.shard) {
                    state.replay(record);
                }
            }
        }
    }
}

} // namespace Dogwoodkeel
