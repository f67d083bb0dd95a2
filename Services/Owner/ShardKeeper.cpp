#include <Services/Owner/ShardKeeper.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds releaseRetry{50};

ShardNumber shardOfKey(const std::string &key)
{
    const std::string digits = key.substr(key.find('/') + 1);
    std::uint32_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return ShardNumber(number);
}

} // namespace

ShardKeeper::ShardKeeper(
    Platform &platform, Scheduler &scheduler, const Clock &clock, SessionNumber self, JournalWriter &journal, Options options)
    : platform(platform)
    , scheduler(scheduler)
    , clock(clock)
    , self(self)
    , journal(journal)
    , options(options)
    , view(std::make_shared<MemberView>(std::vector<Member>()))
{
}

ShardKeeper::~ShardKeeper()
{
    *this->alive = false;
}

void ShardKeeper::start()
{
    this->tick();
}

void ShardKeeper::setView(MemberViewPointer view)
{
    this->view = std::move(view);
    for (const Member &member : this->view->members()) {
        this->everSeen.insert(member.session);
    }
}

ShardState *ShardKeeper::find(ShardNumber shard)
{
    const auto found = this->shards.find(shard);
    return found != this->shards.end() ? found->second.get() : nullptr;
}

const std::map<ShardNumber, std::unique_ptr<ShardState>> &ShardKeeper::owned() const
{
    return this->shards;
}

ShardNumber ShardKeeper::shardOf(const std::string &id) const
{
    return ShardNumber(static_cast<std::uint32_t>(stableHash(id) % this->options.shards));
}

void ShardKeeper::tick()
{
    if (!this->busy && !this->closing && !this->journal.isFenced()) {
        this->releaseUnwanted();
        this->look();
    }
    this->scheduler.schedule(this->options.interval, [this, alive = this->alive] {
        if (*alive) {
            this->tick();
        }
    });
}

void ShardKeeper::look()
{
    bool isMissing = false;
    for (std::uint32_t number = 0; number < this->options.shards && !isMissing; ++number) {
        const Member *const wanted = this->view->ownerOf(ShardNumber(number));
        isMissing = wanted != nullptr && wanted->session == this->self && !this->shards.contains(ShardNumber(number));
    }
    if (!isMissing) {
        return;
    }
    this->busy = true;
    this->platform.tables().readRange(JournalKeys::shard(ShardNumber(0)),
                                      JournalKeys::shardsEnd(),
                                      this->options.shards,
                                      [this, alive = this->alive](const RowsResult &result) {
                                          if (!*alive) {
                                              return;
                                          }
                                          this->busy = false;
                                          if (result.outcome == ReadOutcome::Found && !this->closing) {
                                              this->consider(result.rows);
                                          }
                                      });
}

void ShardKeeper::consider(const std::vector<Row> &rows)
{
    std::map<ShardNumber, Row> byShard;
    for (const Row &row : rows) {
        byShard[shardOfKey(row.key)] = row;
    }
    std::vector<ReadRow> takeable;
    for (std::uint32_t number = 0; number < this->options.shards; ++number) {
        const ShardNumber shard(number);
        const Member *const wanted = this->view->ownerOf(shard);
        if (wanted == nullptr || wanted->session != this->self || this->shards.contains(shard)) {
            continue;
        }
        const auto found = byShard.find(shard);
        if (found == byShard.end()) {
            takeable.push_back({shard, {}, std::nullopt});
            continue;
        }
        auto row = decode<ShardRow>(found->second.value);
        if (!row) {
            log(LogLevel::Error, "shard row cannot be read", {{"shard", static_cast<std::int64_t>(number)}});
            continue;
        }
        if (this->isGone(row->owner)) {
            takeable.push_back({shard, std::move(*row), found->second.version});
        }
    }
    if (!takeable.empty()) {
        this->takeOver(std::move(takeable));
    }
}

bool ShardKeeper::isGone(SessionNumber session)
{
    if (session.value() == 0 || session == this->self) {
        return true;
    }
    if (this->view->find(session) != nullptr) {
        this->strangers.erase(session);
        return false;
    }
    if (this->everSeen.contains(session)) {
        return true;
    }
    // A node that has just started knows few members: one it has not heard of yet may well live. Sealing its journal
    // would be safe but would cost all that it is doing, so it gets the time to be heard of.
    const auto [since, isNew] = this->strangers.try_emplace(session, this->clock.now());
    return this->clock.now() - since->second >= this->options.strangerGrace;
}

void ShardKeeper::takeOver(std::vector<ReadRow> rows)
{
    this->busy = true;
    const auto takeover = std::make_shared<Takeover>();
    takeover->rows = std::move(rows);
    this->recover(takeover);
}

void ShardKeeper::recover(const std::shared_ptr<Takeover> &takeover)
{
    std::map<SessionNumber, JournalSpan> wanted;
    for (const ReadRow &read : takeover->rows) {
        for (const JournalSpan &span : read.row.spans) {
            if (span.session == this->self && span.last.value() == 0) {
                continue;
            }
            JournalSpan &merged = wanted.try_emplace(span.session, span).first->second;
            merged.first = std::min(merged.first, span.first);
            const bool isOpen = merged.last.value() == 0 || span.last.value() == 0;
            merged.last = isOpen ? GroupNumber(0) : std::max(merged.last, span.last);
        }
    }
    takeover->pending = wanted.size();
    if (wanted.empty()) {
        this->claim(takeover);
        return;
    }
    for (const auto &[session, span] : wanted) {
        const auto recovery
            = std::make_shared<JournalRecovery>(this->platform, this->scheduler, this->self, session, span.first, span.last);
        recovery->start([this, takeover, session = session, alive = this->alive](RecoveredJournal journal) {
            if (!*alive) {
                return;
            }
            takeover->journals[session] = std::move(journal);
            if (--takeover->pending == 0) {
                this->claim(takeover);
            }
        });
    }
}

void ShardKeeper::claim(const std::shared_ptr<Takeover> &takeover)
{
    takeover->pending = takeover->rows.size();
    for (std::size_t i = 0; i < takeover->rows.size(); ++i) {
        this->claimOne(takeover, i);
    }
}

void ShardKeeper::claimOne(const std::shared_ptr<Takeover> &takeover, std::size_t index)
{
    const ReadRow &read = takeover->rows[index];
    ShardRow claimed = read.row;
    claimed.owner = this->self;
    claimed.epoch = ShardEpoch(read.row.epoch.value() + 1);
    for (JournalSpan &span : claimed.spans) {
        if (span.last.value() == 0 && span.session != this->self) {
            span.last = takeover->journals.at(span.session).last;
        }
    }
    // An empty span (nothing was written since it was opened) is dropped, else rows would grow with every owner.
    std::erase_if(claimed.spans, [](const JournalSpan &span) {
        return span.last.value() != 0 && span.last < span.first;
    });
    claimed.spans.push_back({this->self, this->journal.nextGroup(), GroupNumber(0)});
    Transaction transaction;
    transaction.conditions.push_back({JournalKeys::shard(read.shard), read.version});
    transaction.writes.push_back({JournalKeys::shard(read.shard), encode(claimed)});
    this->platform.tables().transact(transaction, [this, takeover, index, claimed, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Unknown) {
            this->confirm(takeover, index, claimed);
            return;
        }
        // Another node was first, or the platform was not reached: the next look finds out.
        if (--takeover->pending == 0) {
            this->busy = false;
        }
    });
}

void ShardKeeper::confirm(const std::shared_ptr<Takeover> &takeover, std::size_t index, const ShardRow &claimed)
{
    const ShardNumber shard = takeover->rows[index].shard;
    this->platform.tables().read(
        JournalKeys::shard(shard), [this, takeover, index, claimed, alive = this->alive](const RowResult &result) {
            if (!*alive) {
                return;
            }
            if (result.outcome == ReadOutcome::Failed) {
                this->scheduler.schedule(releaseRetry, [this, takeover, index, claimed, alive] {
                    if (*alive) {
                        this->confirm(takeover, index, claimed);
                    }
                });
                return;
            }
            const auto row = result.outcome == ReadOutcome::Found ? decode<ShardRow>(result.row.value) : std::nullopt;
            if (row && *row == claimed) {
                ReadRow &read = takeover->rows[index];
                read.version = result.row.version;
                this->adopt(*takeover, read, claimed);
            }
            if (--takeover->pending == 0) {
                this->busy = false;
            }
        });
}

void ShardKeeper::adopt(const Takeover &takeover, const ReadRow &read, const ShardRow &claimed)
{
    auto state = std::make_unique<ShardState>(this->clock, this->options.claimLease, this->options.itemLease);
    state->row = claimed;
    state->version = *read.version;
    for (const JournalSpan &span : claimed.spans) {
        const auto journal = takeover.journals.find(span.session);
        if (journal == takeover.journals.end()) {
            continue;
        }
        for (const RecoveredGroup &recovered : journal->second.groups) {
            const bool isInSpan = recovered.number >= span.first && (span.last.value() == 0 || recovered.number <= span.last);
            for (const JournalRecord &record : recovered.group.records) {
                if (isInSpan && record.shard == read.shard) {
                    state->replay(record);
                }
            }
        }
    }
    log(LogLevel::Info,
        "shard taken",
        {{"shard", static_cast<std::int64_t>(read.shard.value())},
         {"epoch", static_cast<std::int64_t>(claimed.epoch.value())},
         {"requests", static_cast<std::int64_t>(state->requests.size())}});
    this->shards[read.shard] = std::move(state);
}

void ShardKeeper::releaseUnwanted()
{
    std::vector<ShardNumber> unwanted;
    for (const auto &[shard, state] : this->shards) {
        const Member *const wanted = this->view->ownerOf(shard);
        if (wanted != nullptr && wanted->session != this->self) {
            unwanted.push_back(shard);
        }
    }
    for (const ShardNumber shard : unwanted) {
        this->release(shard);
    }
}

void ShardKeeper::releaseAll(std::function<void()> released)
{
    this->closing = true;
    this->released = std::move(released);
    std::vector<ShardNumber> all;
    for (const auto &[shard, state] : this->shards) {
        all.push_back(shard);
    }
    for (const ShardNumber shard : all) {
        this->release(shard);
    }
    this->releaseFinished();
}

void ShardKeeper::release(ShardNumber shard)
{
    auto entry = this->shards.extract(shard);
    ++this->releasing;
    this->writeRelease(std::move(entry.mapped()), shard, this->journal.appended());
}

void ShardKeeper::writeRelease(const std::shared_ptr<ShardState> &state, ShardNumber shard, std::uint64_t appended)
{
    const auto again = [this, state, shard, appended, alive = this->alive] {
        if (*alive) {
            this->writeRelease(state, shard, appended);
        }
    };
    if (this->journal.isFenced()) {
        --this->releasing;
        this->releaseFinished();
        return;
    }
    // Records of this shard may still be on their way to the journal. The span must hold them, so the row is written
    // only when all that was appended before the release is durable.
    if (this->journal.durable() < appended) {
        this->scheduler.schedule(releaseRetry, again);
        return;
    }
    ShardRow row = state->row;
    row.owner = SessionNumber(0);
    const GroupNumber last(this->journal.nextGroup().value() - 1);
    for (JournalSpan &span : row.spans) {
        if (span.session == this->self && span.last.value() == 0) {
            span.last = last;
        }
    }
    std::erase_if(row.spans, [](const JournalSpan &span) {
        return span.last < span.first;
    });
    Transaction transaction;
    transaction.conditions.push_back({JournalKeys::shard(shard), state->version});
    transaction.writes.push_back({JournalKeys::shard(shard), encode(row)});
    this->platform.tables().transact(transaction, [this, again, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        // Unknown: were it left at that, the row could go on naming this session, which lives and so is never taken
        // over, and nobody would own the shard. Written again under the same condition, it takes effect once.
        if (outcome == WriteOutcome::NotApplied || outcome == WriteOutcome::Unknown) {
            this->scheduler.schedule(releaseRetry, again);
            return;
        }
        --this->releasing;
        this->releaseFinished();
    });
}

void ShardKeeper::releaseFinished()
{
    if (this->closing && this->releasing == 0 && this->released) {
        std::exchange(this->released, nullptr)();
    }
}

} // namespace Dogwoodkeel
