#include <Services/Gateway/JobRun.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Results that come within this time share a transaction. A reader comes about twice a second. */
constexpr std::chrono::milliseconds gatherTime{60};
constexpr std::chrono::milliseconds firstRetry{50};
constexpr std::chrono::milliseconds longestRetry{400};
constexpr std::chrono::milliseconds loadRetry{200};
constexpr std::chrono::milliseconds retentionLook{1000};
/** An item runs for some seconds; a node that is lost takes no more than this of each of its items with it. */
constexpr std::chrono::milliseconds progressInterval{1000};
constexpr std::chrono::milliseconds takeOverPause{100};
/** Entries of one transaction of the store. */
constexpr std::size_t mostParts = 90;

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
    case RunEnd::HandedOn:
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
    // The other half is for an item's way to its replica.
    , confirmation(context.loop,
                   context.clock,
                   endBound / 2,
                   {.query =
                        [this](std::function<void(OpenConfirmation::Reply)> answer) {
                            this->askWhetherOpen(std::move(answer));
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
        // The node that gives the job up may just be writing what its items have generated.
        this->isBusyWithStore = true;
        this->timer = this->context.loop.schedule(takeOverPause, [self = this->shared_from_this()] {
            self->readProgress();
        });
    }
    this->checkRetention();
    this->keepProgress();
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

void JobRun::keepProgress()
{
    this->saveProgress();
    this->progressTimer = this->context.loop.schedule(progressInterval, [self = this->shared_from_this()] {
        self->keepProgress();
    });
}

void JobRun::saveProgress()
{
    std::vector<ItemProgress> parts;
    for (const auto &[number, item] : this->open) {
        std::optional<ItemProgress> part = parts.size() < mostParts ? item.attempt->takeProgress(number) : std::nullopt;
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
    this->context.loop.cancel(std::exchange(this->retentionTimer, 0));
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
    const SteadyTime asked = this->confirmation.queryTime();
    this->store.load(this->job, [self = this->shared_from_this(), asked](const LoadedJob &loaded) {
        if (self->isOver) {
            return;
        }
        if (loaded.outcome == JobReadOutcome::Found && !loaded.head.isEnded) {
            self->confirmation.recordOpen(asked);
        }
        self->takeLoaded(loaded);
    });
}

void JobRun::askWhetherOpen(std::function<void(OpenConfirmation::Reply)> answer)
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

void JobRun::takeLoaded(const LoadedJob &loaded)
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
    const std::function<void(RunEnd)> over = this->hooks.over;
    this->cancel(end);
    over(end);
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
    const SteadyTime due = this->context.clock.now() + this->completionTarget() - this->age();
    const std::weak_ptr<JobRun> self = this->weak_from_this();
    ItemAttempt::Hooks hooks{
        .target = [self, path = item.target]() -> std::optional<ItemAttempt::Target> {
            const std::shared_ptr<JobRun> run = self.lock();
            return run && !run->isOver ? run->hooks.target(run->ledger.head(), path) : std::nullopt;
        },
        .ended =
            [self, number](ItemAttempt::End end, std::string output) {
                const std::shared_ptr<JobRun> run = self.lock();
                if (run && !run->isOver) {
                    run->takeItemEnd(number, end, std::move(output));
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

std::chrono::milliseconds JobRun::completionTarget() const
{
    const Route *const route = this->hooks.route(this->ledger.head().route);
    return route != nullptr ? route->completionTarget : std::chrono::milliseconds(0);
}

void JobRun::takeItemEnd(std::uint32_t number, ItemAttempt::End end, std::string output)
{
    switch (end) {
    case ItemAttempt::End::Completed:
        this->context.metrics.countEvent("batch item completed");
        this->open.erase(number);
        this->ledger.add(number, ItemResult{this->items[number].id, ItemOutcome::Completed, std::move(output)});
        this->writeSoon();
        return;
    case ItemAttempt::End::Impossible:
        this->abandon(number, "a replica says that it can't be done");
        return;
    case ItemAttempt::End::Failed:
        this->takeFailure(number);
        return;
    }
}

void JobRun::takeFailure(std::uint32_t number)
{
    // Failures are written before the item runs again: with another runner it must not begin to count anew.
    const std::uint32_t failed = this->ledger.recordFailure(number);
    const Route *const route = this->hooks.route(this->ledger.head().route);
    if (route != nullptr && failed >= route->maxAttempts) {
        this->abandon(number, "it failed too often");
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

void JobRun::checkRetention()
{
    const Route *const route = this->isLoaded ? this->hooks.route(this->ledger.head().route) : nullptr;
    const bool isKnown = route != nullptr && route->retention.count() > 0;
    if (isKnown && this->age() > route->retention) {
        while (!this->open.empty()) {
            this->abandon(this->open.begin()->first, "its time is over");
        }
    }
    this->retentionTimer = this->context.loop.schedule(retentionLook, [self = this->shared_from_this()] {
        self->checkRetention();
    });
}

void JobRun::writeSoon()
{
    if (this->isBusyWithStore || std::exchange(this->isWriteScheduled, true)) {
        return;
    }
    this->timer = this->context.loop.schedule(gatherTime, [self = this->shared_from_this()] {
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
                       [self = this->shared_from_this(), head = next.head, asked = this->confirmation.queryTime()](
                           WriteOutcome outcome, RowVersion version) {
                           if (self->isOver) {
                               return;
                           }
                           if (outcome == WriteOutcome::Done) {
                               self->confirmation.recordOpen(asked);
                               self->takeWritten(head, version);
                           } else {
                               self->takeUnwritten(outcome);
                           }
                       });
}

void JobRun::takeUnwritten(WriteOutcome outcome)
{
    ++this->writeFailures;
    this->ledger.recordFailedWrite();
    log(LogLevel::Warning,
        "results not written",
        {{"job", this->job.value()},
         {"outcome", static_cast<std::int64_t>(outcome)},
         {"results", static_cast<std::int64_t>(this->ledger.unwrittenResults())}});
    // The head may have changed, by this write or by another node: it is read before the next.
    const auto grown = std::min(firstRetry * (1 << std::min(this->writeFailures, 4)), longestRetry);
    this->timer = this->context.loop.schedule(grown, [self = this->shared_from_this()] {
        if (!self->isOver) {
            self->load();
        }
    });
}

void JobRun::takeWritten(const JobHead &written, RowVersion version)
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
