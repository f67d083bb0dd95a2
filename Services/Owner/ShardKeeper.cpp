#include <Services/Owner/ShardKeeper.h>

#include <LibBase/Log.h>
#include <LibBase/Shards.h>
#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds releaseRetry{50};
/** Interval at which a release checks whether all earlier records are durable. The check is cheap. */
constexpr std::chrono::milliseconds durableInterval{2};
constexpr std::chrono::milliseconds runnerCheckInterval{1000};

ShardNumber shardOfKey(const std::string &key)
{
    const std::string digits = key.substr(key.find('/') + 1);
    std::uint32_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return ShardNumber(number);
}

} // namespace

ShardKeeper::ShardKeeper(Platform &platform,
                         Scheduler &scheduler,
                         const Clock &clock,
                         SessionNumber self,
                         JournalWriter &journal,
                         const Options &options)
    : platform(platform)
    , scheduler(scheduler)
    , clock(clock)
    , self(self)
    , journal(journal)
    , options(options)
    , checkpointer(platform, scheduler, clock, self, journal, options.checkpoint)
    , cleaner(platform,
              clock,
              self,
              [this](SessionNumber session) {
                  return this->hasDeparted(session);
              },
              {options.shards, options.cleanInterval})
    , view(std::make_shared<MemberView>(std::vector<Member>()))
    , lastTick(clock.now())
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
        this->knownSessions.insert(member.session);
    }
    this->dropLostRunners();
}

bool ShardKeeper::mayChange() const
{
    return !this->busy && !this->isStopping && !this->isOwnershipUncertain && !this->journal.isFenced();
}

void ShardKeeper::releaseAndAcquire()
{
    if (this->mayChange()) {
        this->releaseReassigned();
        this->checkRows();
        this->checkpointOne();
        this->cleanJournals();
    } else if (!this->busy && this->isStopping) {
        this->releaseOwned();
    }
}

void ShardKeeper::checkSoon()
{
    if (this->busy) {
        this->isRecheckNeeded = true;
    } else if (this->mayChange()) {
        this->checkRows();
    }
}

void ShardKeeper::dropLostRunners()
{
    this->lastRunnerCheck = this->clock.now();
    for (const auto &[shard, state] : this->shards) {
        state->requests.dropRunners([this](SessionNumber runner) {
            return this->hasDeparted(runner);
        });
    }
}

ShardState *ShardKeeper::find(ShardNumber shard)
{
    const auto found = this->shards.find(shard);
    return found != this->shards.end() ? found->second.get() : nullptr;
}

bool ShardKeeper::wasPaused() const
{
    return this->isOwnershipUncertain || this->clock.now() - this->lastTick > this->options.pauseLimit;
}

ShardState *ShardKeeper::serving(ShardNumber shard)
{
    // After a pause of the VM, other nodes may own the shards in memory, whose state is then outdated: answered requests
    // would run again. The seal of the journal prevents such runs from counting, but does not prevent the runs.
    return this->wasPaused() ? nullptr : this->find(shard);
}

const std::map<ShardNumber, std::shared_ptr<ShardState>> &ShardKeeper::owned() const
{
    return this->shards;
}

void ShardKeeper::fenced()
{
    for (const auto &[shard, state] : std::exchange(this->shards, {})) {
        state->requests.abandon();
    }
}

bool ShardKeeper::isSameOwnership(const ShardState &state, const Row &row)
{
    const auto found = decode<ShardRow>(row.value);
    return found && found->owner == state.row.owner && found->epoch == state.row.epoch;
}

void ShardKeeper::confirmOwned(ShardNumber shard, std::function<void(bool)> reported)
{
    this->platform.tables().read(
        JournalKeys::shard(shard), [this, shard, reported = std::move(reported), alive = this->alive](const RowResult &result) {
            if (!*alive) {
                return;
            }
            ShardState *const state = this->find(shard);
            reported(state != nullptr && result.outcome == ReadOutcome::Found && isSameOwnership(*state, result.row));
        });
}

void ShardKeeper::checkOwned()
{
    this->platform.tables().readRange(JournalKeys::shard(ShardNumber(0)),
                                      JournalKeys::shardsEnd(),
                                      this->options.shards,
                                      [this, alive = this->alive](const RowsResult &result) {
                                          if (!*alive) {
                                              return;
                                          }
                                          // Without the platform the owners cannot be read, and no node can take over either.
                                          // So the node keeps its shards. Its decisions still have to be journalled.
                                          this->isOwnershipUncertain = false;
                                          if (result.outcome == ReadOutcome::Found) {
                                              this->dropLost(result.rows);
                                          }
                                      });
}

void ShardKeeper::dropLost(const std::vector<Row> &rows)
{
    bool isAnyLost = false;
    for (const Row &row : rows) {
        const auto found = this->shards.find(shardOfKey(row.key));
        if (found == this->shards.end() || isSameOwnership(*found->second, row)) {
            continue;
        }
        log(LogLevel::Warning,
            "shard acquired by another node while this node was paused, dropped",
            {{"shard", std::int64_t{found->first.value()}}});
        const auto lost = this->shards.extract(found);
        lost.mapped()->requests.abandon();
        isAnyLost = true;
    }
    // The new owner of a shard has sealed this journal first. This node could not journal for shards it acquired now.
    if (isAnyLost) {
        this->journal.checkForSeal();
    }
}

ShardNumber ShardKeeper::shardOf(const std::string &id) const
{
    return shardOfId(id, this->options.shards);
}

void ShardKeeper::tick()
{
    if (!this->isOwnershipUncertain && this->wasPaused()) {
        this->isOwnershipUncertain = true;
        this->checkOwned();
    }
    this->lastTick = this->clock.now();
    // A runner that was never in the view counts as lost after a timeout, without a change of the view.
    if (this->lastTick - this->lastRunnerCheck >= runnerCheckInterval) {
        this->dropLostRunners();
    }
    this->releaseAndAcquire();
    this->scheduler.schedule(this->options.interval, [this, alive = this->alive] {
        if (*alive) {
            this->tick();
        }
    });
}

bool ShardKeeper::isOwnedOrReleasing(ShardNumber shard) const
{
    // A shard that is being released is not acquired again before its row is written. The row still names this session, so
    // its open span would be skipped as this node's own, and all results in it would be missing.
    return this->shards.contains(shard) || this->releasing.contains(shard);
}

void ShardKeeper::checkRows()
{
    bool isMissing = false;
    for (std::uint32_t number = 0; number < this->options.shards && !isMissing; ++number) {
        const Member *const assignedOwner = this->view->ownerOf(ShardNumber(number));
        isMissing
            = assignedOwner != nullptr && assignedOwner->session == this->self && !this->isOwnedOrReleasing(ShardNumber(number));
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
                                          this->finishTakeover();
                                          if (result.outcome == ReadOutcome::Found && !this->isStopping) {
                                              this->acquireAssigned(result.rows);
                                          }
                                      });
}

void ShardKeeper::acquireAssigned(const std::vector<Row> &rows)
{
    std::map<ShardNumber, Row> byShard;
    for (const Row &row : rows) {
        byShard[shardOfKey(row.key)] = row;
    }
    std::vector<ReadShard> takeable;
    for (std::uint32_t number = 0; number < this->options.shards; ++number) {
        const ShardNumber shard(number);
        const Member *const assignedOwner = this->view->ownerOf(shard);
        if (assignedOwner == nullptr || assignedOwner->session != this->self || this->isOwnedOrReleasing(shard)) {
            continue;
        }
        const auto found = byShard.find(shard);
        if (found == byShard.end()) {
            takeable.push_back({shard, {}, std::nullopt});
            continue;
        }
        auto row = decode<ShardRow>(found->second.value);
        if (!row) {
            log(LogLevel::Error,
                "shard row cannot be decoded, shard not acquired",
                {{"shard", static_cast<std::int64_t>(number)}});
            continue;
        }
        const bool isFree = row->owner.value() == 0 || row->owner == this->self || this->hasDeparted(row->owner);
        if (isFree) {
            takeable.push_back({shard, std::move(*row), found->second.version});
        }
    }
    if (!takeable.empty()) {
        this->takeOver(std::move(takeable));
    }
}

bool ShardKeeper::hasDeparted(SessionNumber session)
{
    if (session == this->self) {
        return false;
    }
    if (this->view->find(session) != nullptr) {
        this->unknownOwnersSince.erase(session);
        return false;
    }
    if (this->knownSessions.contains(session)) {
        return true;
    }
    // A node that has just started knows few members, so an unknown one may be alive. Sealing its journal would be safe
    // but would abort all its work, so there is a timeout before it counts as departed.
    const auto [since, isNew] = this->unknownOwnersSince.try_emplace(session, this->clock.now());
    return this->clock.now() - since->second >= this->options.unknownOwnerTimeout;
}

void ShardKeeper::takeOver(std::vector<ReadShard> shards)
{
    this->busy = true;
    for (ReadShard &shard : shards) {
        this->closeOwnSpans(shard.row);
    }
    const auto takeover = std::make_shared<Takeover>();
    takeover->recovery = std::make_shared<ShardRecovery>(this->platform, this->scheduler, this->self, std::move(shards));
    takeover->recovery->start([this, takeover, alive = this->alive](bool isComplete) {
        if (!*alive) {
            return;
        }
        if (!isComplete) {
            // A row has changed since it was read. The next check reads it again.
            this->finishTakeover();
            return;
        }
        this->claim(takeover);
    });
}

void ShardKeeper::closeOwnSpans(ShardRow &row) const
{
    // A claim that was considered lost took effect. Its span is open and names this session, which must not be sealed. All
    // records of the shard from this session are durable, as the shard is neither owned nor being released.
    for (JournalSpan &span : row.spans) {
        if (span.session == this->self && span.last.value() == 0) {
            span.last = this->journal.lastDurableGroup();
        }
    }
    std::erase_if(row.spans, [this](const JournalSpan &span) {
        return span.session == this->self && span.last < span.first;
    });
}

void ShardKeeper::claim(const std::shared_ptr<Takeover> &takeover)
{
    takeover->pending = takeover->recovery->shards().size();
    for (const ReadShard &shard : takeover->recovery->shards()) {
        this->claimOne(takeover, shard);
    }
}

void ShardKeeper::claimOne(const std::shared_ptr<Takeover> &takeover, const ReadShard &shard)
{
    ShardRow claimed = takeover->recovery->closedRow(shard);
    claimed.owner = this->self;
    claimed.epoch = ShardEpoch(shard.row.epoch.value() + 1);
    claimed.spans.push_back({this->self, this->journal.nextGroup(), GroupNumber(0)});
    Transaction transaction;
    transaction.conditions.push_back({JournalKeys::shard(shard.shard), shard.version});
    transaction.writes.push_back({JournalKeys::shard(shard.shard), encode(claimed)});
    this->platform.tables().transact(transaction, [this, takeover, shard, claimed, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Unknown) {
            this->confirm(takeover, shard, claimed);
            return;
        }
        // Another node was first, or the platform was not reached. The next check reads the rows again.
        this->finishOne(takeover);
    });
}

void ShardKeeper::confirm(const std::shared_ptr<Takeover> &takeover, const ReadShard &shard, const ShardRow &claimed)
{
    this->platform.tables().read(
        JournalKeys::shard(shard.shard), [this, takeover, shard, claimed, alive = this->alive](const RowResult &result) {
            if (!*alive) {
                return;
            }
            if (result.outcome == ReadOutcome::Failed) {
                this->scheduler.schedule(releaseRetry, [this, takeover, shard, claimed, alive] {
                    if (*alive) {
                        this->confirm(takeover, shard, claimed);
                    }
                });
                return;
            }
            const auto row = result.outcome == ReadOutcome::Found ? decode<ShardRow>(result.row.value) : std::nullopt;
            if (row && *row == claimed && !this->journal.isFenced()) {
                this->adopt(*takeover->recovery, shard, claimed, result.row.version);
            } else {
                // The claim may still take effect if its response was lost, so the groups from its span on are kept.
                const GroupNumber first = claimed.spans.back().first;
                this->unconfirmedSpan = std::min(first, this->unconfirmedSpan.value_or(first));
            }
            this->finishOne(takeover);
        });
}

void ShardKeeper::adopt(const ShardRecovery &recovery, const ReadShard &shard, const ShardRow &claimed, RowVersion version)
{
    auto state = std::make_shared<ShardState>(this->clock, this->platform.objects(), this->options.state);
    state->row = claimed;
    state->version = version;
    recovery.replay(shard, claimed, *state);
    state->requests.dropRunners([this](SessionNumber runner) {
        return this->hasDeparted(runner);
    });
    log(LogLevel::Info,
        "shard acquired",
        {{"shard", static_cast<std::int64_t>(shard.shard.value())},
         {"epoch", static_cast<std::int64_t>(claimed.epoch.value())},
         {"requests", static_cast<std::int64_t>(state->requests.size())}});
    this->shards[shard.shard] = std::move(state);
}

void ShardKeeper::finishOne(const std::shared_ptr<Takeover> &takeover)
{
    if (--takeover->pending == 0) {
        this->finishTakeover();
    }
}

void ShardKeeper::finishTakeover()
{
    this->busy = false;
    if (this->isStopping) {
        this->releaseOwned();
    } else if (std::exchange(this->isRecheckNeeded, false)) {
        this->scheduler.schedule(std::chrono::milliseconds(0), [this, alive = this->alive] {
            if (*alive) {
                this->checkSoon();
            }
        });
    }
}

void ShardKeeper::checkpointOne()
{
    if (this->checkpointer.isBusy()) {
        return;
    }
    const auto due = std::ranges::find_if(this->shards, [this](const auto &each) {
        return this->checkpointer.isDue(*each.second);
    });
    if (due != this->shards.end()) {
        this->checkpointer.write(due->first, due->second);
    }
}

void ShardKeeper::cleanJournals()
{
    const GroupNumber next(this->journal.lastDurableGroup().value() + 1);
    const Member *const cleaning = this->view->ownerOf(ShardNumber(0));
    const bool cleansOthers = cleaning != nullptr && cleaning->session == this->self;
    this->cleaner.tick({std::min(next, this->unconfirmedSpan.value_or(next)), cleansOthers});
}

void ShardKeeper::releaseReassigned()
{
    // If a shard were released as soon as this node knows the new owner, requests would fail over to it only once the other
    // nodes know it too, and would wait for most of a second. So the shard is served until the update has spread. Callers
    // that reach the new owner earlier get the answer that it is not the owner, and call this node.
    const SteadyTime now = this->clock.now();
    std::map<ShardNumber, SteadyTime> reassigned;
    std::vector<ShardNumber> due;
    for (const auto &[shard, state] : this->shards) {
        const Member *const assignedOwner = this->view->ownerOf(shard);
        if (assignedOwner == nullptr || assignedOwner->session == this->self) {
            continue;
        }
        const auto before = this->reassignedSince.find(shard);
        const SteadyTime since = before != this->reassignedSince.end() ? before->second : now;
        reassigned[shard] = since;
        if (now - since >= this->view->spreadTime()) {
            due.push_back(shard);
        }
    }
    this->reassignedSince = std::move(reassigned);
    for (const ShardNumber shard : due) {
        this->handOver(shard);
    }
}

void ShardKeeper::releaseAll(std::function<void()> released)
{
    this->isStopping = true;
    this->onAllReleased = std::move(released);
    this->releaseOwned();
}

void ShardKeeper::releaseOwned()
{
    std::vector<ShardNumber> all;
    for (const auto &[shard, state] : this->shards) {
        all.push_back(shard);
    }
    for (const ShardNumber shard : all) {
        this->handOver(shard);
    }
    this->releaseFinished();
}

void ShardKeeper::handOver(ShardNumber shard)
{
    // A shard is not served between two owners. So a checkpoint is written first, while this node still serves it, to
    // shorten the replay of the next owner.
    const std::shared_ptr<ShardState> &state = this->shards.at(shard);
    const bool wantsCheckpoint = !state->isHandoverPrepared && this->checkpointer.isWorthwhileBeforeHandover(*state);
    if (state->isCheckpointing || (wantsCheckpoint && this->checkpointer.isBusy())) {
        return;
    }
    if (!wantsCheckpoint) {
        this->release(shard);
        return;
    }
    state->isHandoverPrepared = true;
    this->checkpointer.write(shard, state, [this] {
        this->isStopping ? this->releaseOwned() : this->releaseReassigned();
    });
}

void ShardKeeper::release(ShardNumber shard)
{
    auto entry = this->shards.extract(shard);
    this->releasing.insert(shard);
    entry.mapped()->requests.abandon();
    this->writeRelease(entry.mapped(), shard, this->journal.appended());
}

void ShardKeeper::writeRelease(const std::shared_ptr<ShardState> &state, ShardNumber shard, std::uint64_t appended)
{
    const auto again = [this, state, shard, appended, alive = this->alive] {
        if (*alive) {
            this->writeRelease(state, shard, appended);
        }
    };
    if (this->journal.isFenced()) {
        this->releaseWritten(shard);
        return;
    }
    // Records of this shard may still be in flight to the journal. The span must cover them, so the row is written only when
    // all records appended before the release are durable. A checkpoint in progress changes the row too.
    if (this->journal.durable() < appended || state->isCheckpointing) {
        this->scheduler.schedule(durableInterval, again);
        return;
    }
    ShardRow row = state->row;
    row.owner = SessionNumber(0);
    // The span ends at the last durable group, not at the one in flight. That one contains no record of this shard, and if
    // it never arrived, the end of the span would be missing forever.
    this->closeOwnSpans(row);
    Transaction transaction;
    transaction.conditions.push_back({JournalKeys::shard(shard), state->version});
    transaction.writes.push_back({JournalKeys::shard(shard), encode(row)});
    this->platform.tables().transact(transaction, [this, again, shard, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        // The outcome is unknown. Without a retry, the row could keep naming this session, which is alive and thus never
        // taken over, and the shard would have no owner. A retry under the same condition takes effect only once.
        if (outcome == WriteOutcome::NotApplied || outcome == WriteOutcome::Unknown) {
            this->scheduler.schedule(releaseRetry, again);
            return;
        }
        this->releaseWritten(shard);
    });
}

void ShardKeeper::releaseWritten(ShardNumber shard)
{
    log(LogLevel::Info, "shard released", {{"shard", static_cast<std::int64_t>(shard.value())}});
    this->releasing.erase(shard);
    this->released.push_back(shard);
    // Notified of each shard separately, a successor would replay the same journals once per shard, and the last shard
    // would wait for all replays.
    if (this->releasing.empty()) {
        this->notifySuccessors();
    }
    this->releaseFinished();
}

void ShardKeeper::notifySuccessors()
{
    std::set<SessionNumber> reported;
    for (const ShardNumber shard : std::exchange(this->released, {})) {
        const Member *const successor = this->view->ownerOf(shard);
        const bool isOther = successor != nullptr && successor->session != this->self;
        if (isOther && this->options.onReleased && reported.insert(successor->session).second) {
            this->options.onReleased(*successor);
        }
    }
}

void ShardKeeper::releaseFinished()
{
    // The shards of a takeover in progress must be released as well. Otherwise their rows would name a departed session, and
    // the shards would have no owner until other nodes detect that.
    const bool isReleasePending = this->busy || !this->shards.empty() || !this->releasing.empty();
    if (this->isStopping && !isReleasePending && this->onAllReleased) {
        std::exchange(this->onAllReleased, nullptr)();
    }
}

} // namespace Dogwoodkeel
