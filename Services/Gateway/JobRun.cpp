#include <Services/Gateway/JobRun.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Results that arrive within this time share a transaction. Callers read about twice a second. */
constexpr std::chrono::milliseconds writeDelay{60};
constexpr std::chrono::milliseconds minRetry{50};
constexpr std::chrono::milliseconds maxRetry{400};
constexpr std::chrono::milliseconds loadRetry{200};
constexpr std::chrono::milliseconds checkInterval{1000};
/** A wait is logged from this time on. */
constexpr std::chrono::seconds longWait{3};
/** Interval of these lines: a job has up to hundreds of thousands of items, and under load all of them wait. */
constexpr std::chrono::seconds waitLogInterval{5};
/** An item runs for some seconds; if its node is lost, at most this much of its output must be generated again. */
constexpr std::chrono::milliseconds progressInterval{1000};
constexpr std::chrono::milliseconds takeoverDelay{100};
/** Max entries in one transaction of the store. */
constexpr std::size_t maxParts = 90;

} // namespace

std::string_view toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Complete:
        return "complete";
    case RunEnd::EndReported:
        return "its end was reported";
    case RunEnd::RowRemoved:
        return "its open row was removed";
    case RunEnd::NotListed:
        return "it is not listed as open";
    case RunEnd::HeadClosed:
        return "its head says that it is closed";
    case RunEnd::Absent:
        return "the store has no such job";
    case RunEnd::HandedOver:
        return "another node runs it";
    case RunEnd::NodeLeaving:
        return "this node is leaving";
    }
    return "invalid";
}

JobRun::JobRun(GatewayContext &context, JobStore &store, JobId job, std::chrono::milliseconds endBound, Hooks hooks)
    : context(context)
    , store(store)
    , job(std::move(job))
    , hooks(std::move(hooks))
    // The other half is for sending an item to its replica.
    , confirmation(context.loop,
                   context.clock,
                   endBound / 2,
                   {.query =
                        [this](std::function<void(OpenConfirmation::Reply)> answer) {
                            this->queryOpen(std::move(answer));
                        },
                    .closed =
                        [this] {
                            this->endRun(RunEnd::HeadClosed);
                        }})
{
}

void JobRun::start(Origin origin)
{
    if (origin == Origin::Accepted) {
        this->load();
    } else {
        // The previous runner may still be storing the progress of its items.
        this->isBusyWithStore = true;
        this->timer = this->context.loop.schedule(takeoverDelay, [self = this->shared_from_this()] {
            self->readProgress();
        });
    }
    this->checkItems();
    this->saveProgressPeriodically();
}

void JobRun::readProgress()
{
    this->store.readProgress(this->job, [self = this->shared_from_this()](const auto &generated) {
        if (self->isOver) {
            return;
        }
        if (!generated) {
            self->timer = self->context.loop.schedule(loadRetry, [self] {
                self->readProgress();
            });
            return;
        }
        self->before = *generated;
        self->load();
    });
}

void JobRun::saveProgressPeriodically()
{
    this->saveProgress();
    this->progressTimer = this->context.loop.schedule(progressInterval, [self = this->shared_from_this()] {
        self->saveProgressPeriodically();
    });
}

void JobRun::saveProgress()
{
    std::vector<ItemProgress> parts;
    for (const auto &[number, item] : this->open) {
        std::optional<ItemProgress> part = parts.size() < maxParts ? item.attempt->takeProgress(number) : std::nullopt;
        if (part) {
            parts.push_back(*std::move(part));
        }
    }
    if (!parts.empty()) {
        this->store.saveProgress(this->job, parts);
    }
}

void JobRun::cancel(RunEnd end)
{
    if (std::exchange(this->isOver, true)) {
        return;
    }
    this->context.metrics.countEvent("run of a job ended: " + std::string(toString(end)));
    log(LogLevel::Info,
        "run of a job ended",
        {{"job", this->job.value()},
         {"reason", std::string(toString(end))},
         {"open_items", static_cast<std::int64_t>(this->open.size())}});
    this->context.loop.cancel(std::exchange(this->timer, 0));
    this->context.loop.cancel(std::exchange(this->checkTimer, 0));
    this->context.loop.cancel(std::exchange(this->progressTimer, 0));
    this->confirmation.cancel();
    this->stopAll();
    this->hooks = {};
}

void JobRun::stopAll()
{
    for (auto &[number, item] : this->open) {
        item.attempt->cancel();
    }
    this->open.clear();
}

void JobRun::load()
{
    this->isBusyWithStore = true;
    const SteadyTime queriedAt = this->confirmation.queryTime();
    this->store.load(this->job, [self = this->shared_from_this(), queriedAt](const LoadedJob &loaded) {
        if (self->isOver) {
            return;
        }
        if (loaded.outcome == JobReadOutcome::Found && !loaded.head.isEnded) {
            self->confirmation.recordOpen(queriedAt);
        }
        self->handleLoaded(loaded);
    });
}

void JobRun::queryOpen(std::function<void(OpenConfirmation::Reply)> answer)
{
    this->store.loadHead(this->job, [self = this->shared_from_this(), answer = std::move(answer)](const LoadedJob &loaded) {
        if (loaded.outcome == JobReadOutcome::Failed) {
            answer(OpenConfirmation::Reply::Unknown);
            return;
        }
        const bool isOpen = loaded.outcome == JobReadOutcome::Found && !loaded.head.isEnded
            && loaded.head.finishedItems.size() < loaded.head.total;
        answer(isOpen ? OpenConfirmation::Reply::Open : OpenConfirmation::Reply::Closed);
    });
}

void JobRun::checkOpen()
{
    this->confirmation.requery();
}

void JobRun::handleLoaded(const LoadedJob &loaded)
{
    if (loaded.outcome == JobReadOutcome::Failed) {
        this->timer = this->context.loop.schedule(loadRetry, [self = this->shared_from_this()] {
            self->load();
        });
        return;
    }
    this->isBusyWithStore = false;
    if (loaded.outcome == JobReadOutcome::Absent || loaded.head.isEnded) {
        this->endRun(loaded.outcome == JobReadOutcome::Absent ? RunEnd::Absent : RunEnd::HeadClosed);
        return;
    }
    this->ledger.adopt(loaded.head, loaded.version);
    if (this->ledger.isComplete()) {
        this->endRun(RunEnd::Complete);
        return;
    }
    this->items = loaded.items;
    if (!std::exchange(this->isLoaded, true)) {
        log(LogLevel::Info,
            "running a job",
            {{"job", this->job.value()},
             {"items", static_cast<std::int64_t>(loaded.head.total)},
             {"listed", static_cast<std::int64_t>(loaded.head.finishedItems.size())}});
    }
    this->startItems();
    if (this->ledger.hasUnwrittenChanges()) {
        this->writeSoon();
    }
}

void JobRun::endRun(RunEnd end)
{
    const std::function<void(RunEnd)> runEnded = this->hooks.runEnded;
    this->cancel(end);
    runEnded(end);
}

void JobRun::startItems()
{
    for (auto item = this->open.begin(); item != this->open.end();) {
        const bool isListed = this->ledger.isListed(item->first);
        if (isListed) {
            item->second.attempt->cancel();
        }
        item = isListed ? this->open.erase(item) : std::next(item);
    }
    for (std::uint32_t number = 0; number < this->items.size(); ++number) {
        if (!this->ledger.hasResult(number) && !this->open.contains(number)) {
            this->startItem(number);
        }
    }
}

void JobRun::startItem(std::uint32_t number)
{
    const JobItem &item = this->items[number];
    const Route *const limits = this->limitingRoute(number);
    const auto completionTarget = limits != nullptr ? limits->completionTarget : std::chrono::milliseconds(0);
    const SteadyTime due = this->context.clock.now() + completionTarget - this->age();
    const std::weak_ptr<JobRun> self = this->weak_from_this();
    ItemAttempt::Hooks hooks{
        .routing =
            [self, target = item.target] {
                const std::shared_ptr<JobRun> run = self.lock();
                return run && !run->isOver ? run->hooks.routing(run->ledger.head(), target) : ItemAttempt::Routing();
            },
        .ended =
            [self, number](ItemAttempt::End end, std::string output) {
                const std::shared_ptr<JobRun> run = self.lock();
                if (run && !run->isOver) {
                    run->handleItemEnd(number, end, std::move(output));
                }
            },
        .confirmOpen =
            [self](OpenConfirmation::Callback confirmed) {
                const std::shared_ptr<JobRun> run = self.lock();
                if (run && !run->isOver) {
                    run->confirmation.request(std::move(confirmed));
                }
            },
    };
    const JobHead &head = this->ledger.head();
    auto attempt = std::make_shared<ItemAttempt>(
        this->context, item, ItemAttempt::Origin{this->job, head.host, head.workspace}, due, std::move(hooks));
    this->open[number].attempt = attempt;
    const auto generated = this->before.find(number);
    attempt->start(generated != this->before.end() ? generated->second : JobRows::Generated());
}

std::chrono::milliseconds JobRun::age() const
{
    const StoreTime submitted = this->ledger.head().submitted;
    // Jobs are read from the store, so its time is known.
    return this->context.storeClock.now().value_or(submitted) - submitted;
}

const Route *JobRun::limitingRoute(std::uint32_t number) const
{
    return this->hooks.limitingRoute(this->ledger.head(), this->items[number].target);
}

void JobRun::handleItemEnd(std::uint32_t number, ItemAttempt::End end, std::string output)
{
    switch (end) {
    case ItemAttempt::End::Completed:
        this->context.metrics.countEvent("batch item completed");
        this->open.erase(number);
        this->ledger.add(number, ItemResult{this->items[number].id, ItemOutcome::Completed, std::move(output)});
        this->writeSoon();
        return;
    case ItemAttempt::End::Impossible:
        this->abandon(number, "a replica reported that it can never be processed");
        return;
    case ItemAttempt::End::Failed:
        this->handleItemFailure(number);
        return;
    case ItemAttempt::End::Unrouted:
        this->abandon(number, "its route was removed");
        return;
    }
}

void JobRun::handleItemFailure(std::uint32_t number)
{
    // Failures are written to the store, so that another runner continues their count.
    const std::uint32_t failed = this->ledger.recordFailure(number);
    const Route *const limits = this->limitingRoute(number);
    if (limits != nullptr && failed >= limits->maxAttempts) {
        this->abandon(number, "it reached the max attempts of its route");
        return;
    }
    this->writeSoon();
    const auto found = this->open.find(number);
    if (found != this->open.end()) {
        found->second.attempt->restart();
    }
}

void JobRun::abandon(std::uint32_t number, std::string_view reason)
{
    log(LogLevel::Info,
        "batch item given up",
        {{"job", this->job.value()}, {"item", this->items[number].id.value()}, {"reason", std::string(reason)}});
    this->context.metrics.countEvent("batch item given up");
    const auto found = this->open.find(number);
    if (found != this->open.end()) {
        found->second.attempt->cancel();
        this->open.erase(found);
    }
    this->ledger.add(number, ItemResult{this->items[number].id, ItemOutcome::Abandoned, {}});
    this->writeSoon();
}

void JobRun::checkItems()
{
    const std::uint64_t version = this->hooks.configurationVersion();
    if (std::exchange(this->checkedVersion, version) != version) {
        for (const auto &[number, item] : this->open) {
            item.attempt->handleConfigurationChange();
        }
    }
    this->abandonExpired();
    this->logLongestWait();
    this->checkTimer = this->context.loop.schedule(checkInterval, [self = this->shared_from_this()] {
        self->checkItems();
    });
}

void JobRun::abandonExpired()
{
    if (!this->isLoaded) {
        return;
    }
    std::vector<std::uint32_t> expired;
    for (const auto &[number, item] : this->open) {
        const Route *const limits = this->limitingRoute(number);
        const bool isLimited = limits != nullptr && limits->retention.count() > 0;
        if (isLimited && this->age() > limits->retention) {
            expired.push_back(number);
        }
    }
    for (const std::uint32_t number : expired) {
        this->abandon(number, "its retention has ended");
    }
}

void JobRun::logLongestWait()
{
    const SteadyTime now = this->context.clock.now();
    if (now < this->nextWaitLog) {
        return;
    }
    const ItemAttempt *longest = nullptr;
    SteadyTime since = now - longWait;
    std::size_t waiting = 0;
    for (const auto &[number, item] : this->open) {
        const std::optional<SteadyTime> waitingSince = item.attempt->waitingSince();
        waiting += waitingSince ? 1 : 0;
        if (waitingSince && *waitingSince <= since) {
            longest = item.attempt.get();
            since = *waitingSince;
        }
    }
    if (longest != nullptr) {
        this->nextWaitLog = now + waitLogInterval;
        this->context.metrics.countEvent("long wait of a batch item");
        longest->logWait(waiting);
    }
}

void JobRun::writeSoon()
{
    if (this->isBusyWithStore || std::exchange(this->isWriteScheduled, true)) {
        return;
    }
    this->timer = this->context.loop.schedule(writeDelay, [self = this->shared_from_this()] {
        self->isWriteScheduled = false;
        if (!self->isOver && !self->isBusyWithStore) {
            self->write();
        }
    });
}

void JobRun::write()
{
    const JobLedger::Write next = this->ledger.nextWrite();
    std::optional<OpenJob> row;
    if (next.head.finishedItems.size() < next.head.total) {
        row = OpenJob{next.head.route, next.head.workspace, this->waitingTokens(next.head), this->hooks.self()};
    }
    this->isBusyWithStore = true;
    this->store.update(this->job,
                       this->ledger.version(),
                       next.head,
                       next.results,
                       row,
                       [self = this->shared_from_this(), head = next.head, queriedAt = this->confirmation.queryTime()](
                           WriteOutcome outcome, RowVersion version) {
                           if (self->isOver) {
                               return;
                           }
                           if (outcome == WriteOutcome::Done) {
                               self->confirmation.recordOpen(queriedAt);
                               self->handleWritten(head, version);
                           } else {
                               self->handleFailedWrite(outcome);
                           }
                       });
}

void JobRun::handleFailedWrite(WriteOutcome outcome)
{
    ++this->writeFailures;
    this->ledger.recordFailedWrite();
    log(LogLevel::Warning,
        "results not written",
        {{"job", this->job.value()},
         {"outcome", static_cast<std::int64_t>(outcome)},
         {"results", static_cast<std::int64_t>(this->ledger.unwrittenResults())}});
    // This write or another node may have changed the head, so it is read before the next write.
    const auto grown = std::min(minRetry * (1 << std::min(this->writeFailures, 4)), maxRetry);
    this->timer = this->context.loop.schedule(grown, [self = this->shared_from_this()] {
        if (!self->isOver) {
            self->load();
        }
    });
}

void JobRun::handleWritten(const JobHead &written, RowVersion version)
{
    this->isBusyWithStore = false;
    this->writeFailures = 0;
    this->ledger.confirm(written, version);
    log(LogLevel::Info,
        "results written",
        {{"job", this->job.value()},
         {"listed", static_cast<std::int64_t>(written.finishedItems.size())},
         {"items", static_cast<std::int64_t>(written.total)},
         {"age_ms", this->age().count()}});
    if (this->ledger.isComplete()) {
        log(LogLevel::Info, "job complete", {{"job", this->job.value()}});
        this->endRun(RunEnd::Complete);
        return;
    }
    if (this->ledger.hasUnwrittenChanges()) {
        this->writeSoon();
    }
}

std::uint64_t JobRun::waitingTokens(const JobHead &head) const
{
    std::uint64_t tokens = 0;
    for (std::uint32_t number = 0; number < this->items.size(); ++number) {
        const bool isListed = std::ranges::find(head.finishedItems, number) != head.finishedItems.end();
        tokens += isListed ? 0 : this->items[number].tokens;
    }
    return tokens;
}

} // namespace Dogwoodkeel
