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
/** Puts of one transaction are bounded by the store; each result takes one row, a long one several. */
constexpr std::size_t mostResultsAtOnce = 20;
constexpr std::size_t mostOutputAtOnce = 400'000;

} // namespace

JobRun::JobRun(GatewayContext &context, JobStore &store, SessionNumber self, JobId job, Hooks hooks)
    : context(context), store(store), self(self), job(std::move(job)), hooks(std::move(hooks))
{
}

void JobRun::start()
{
    this->load();
    this->checkRetention();
}

void JobRun::cancel()
{
    this->isOver = true;
    this->context.loop.cancel(std::exchange(this->timer, 0));
    this->context.loop.cancel(std::exchange(this->retentionTimer, 0));
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
    this->store.load(this->job, [self = this->shared_from_this()](const LoadedJob &loaded) {
        if (!self->isOver) {
            self->takeLoaded(loaded);
        }
    });
}

void JobRun::takeLoaded(const LoadedJob &loaded)
{
    if (loaded.outcome == JobReadOutcome::Failed) {
        this->timer = this->context.loop.schedule(loadRetry, [self = this->shared_from_this()] {
            self->load();
        });
        return;
    }
    const bool isDone
        = loaded.outcome == JobReadOutcome::Absent || loaded.head.isEnded || loaded.head.listed.size() >= loaded.head.total;
    if (isDone) {
        const std::function<void()> over = this->hooks.over;
        this->cancel();
        over();
        return;
    }
    this->head = loaded.head;
    this->version = loaded.version;
    this->items = loaded.items;
    // What another runner has listed meanwhile is not written a second time.
    std::erase_if(this->unwritten, [this](const auto &result) {
        return std::ranges::find(this->head.listed, result.first) != this->head.listed.end();
    });
    if (!std::exchange(this->isLoaded, true)) {
        log(LogLevel::Info,
            "running a job",
            {{"job", this->job.value()},
             {"items", static_cast<std::int64_t>(this->head.total)},
             {"listed", static_cast<std::int64_t>(this->head.listed.size())}});
    }
    this->startItems();
    this->mergeFailures();
    if (!this->unwritten.empty() || this->hasNewFailures) {
        this->writeSoon();
    }
}

void JobRun::mergeFailures()
{
    std::map<std::uint32_t, std::uint32_t> written;
    for (const std::uint32_t number : this->head.failures) {
        ++written[number];
    }
    for (const auto &[number, count] : written) {
        std::uint32_t &known = this->failures[number];
        known = std::max(known, count);
    }
}

void JobRun::startItems()
{
    for (auto item = this->open.begin(); item != this->open.end();) {
        const bool isListed = std::ranges::find(this->head.listed, item->first) != this->head.listed.end();
        if (isListed) {
            item->second.attempt->cancel();
        }
        item = isListed ? this->open.erase(item) : std::next(item);
    }
    for (std::uint32_t number = 0; number < this->items.size(); ++number) {
        const bool isListed = std::ranges::find(this->head.listed, number) != this->head.listed.end();
        const bool isKept = std::ranges::any_of(this->unwritten, [number](const auto &result) {
            return result.first == number;
        });
        if (!isListed && !isKept && !this->open.contains(number)) {
            this->startItem(number);
        }
    }
}

void JobRun::startItem(std::uint32_t number)
{
    const JobItem &item = this->items[number];
    const Route *const route = this->hooks.route(this->head.route);
    const std::chrono::milliseconds target = route != nullptr ? route->completionTarget : std::chrono::milliseconds(0);
    const auto age = this->context.clock.wallNow() - this->head.submitted;
    const SteadyTime due = this->context.clock.now() + std::chrono::duration_cast<std::chrono::milliseconds>(target - age);
    const std::weak_ptr<JobRun> self = this->weak_from_this();
    ItemAttempt::Hooks hooks{
        .target = [self, host = this->head.host, path = item.target]() -> std::optional<ItemAttempt::Target> {
            const std::shared_ptr<JobRun> run = self.lock();
            return run && !run->isOver ? run->hooks.target(host, path) : std::nullopt;
        },
        .ended =
            [self, number](ItemAttempt::End end, std::string output) {
                const std::shared_ptr<JobRun> run = self.lock();
                if (run && !run->isOver) {
                    run->takeItemEnd(number, end, std::move(output));
                }
            },
    };
    auto attempt = std::make_shared<ItemAttempt>(this->context, item, this->head.host, due, std::move(hooks));
    this->open[number].attempt = attempt;
    attempt->start();
}

void JobRun::takeItemEnd(std::uint32_t number, ItemAttempt::End end, std::string output)
{
    switch (end) {
    case ItemAttempt::End::Completed:
        this->context.metrics.countEvent("batch item completed");
        this->open.erase(number);
        this->unwritten.emplace_back(number, ItemResult{this->items[number].id, ItemOutcome::Completed, std::move(output)});
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
    const std::uint32_t failed = ++this->failures[number];
    this->hasNewFailures = true;
    const Route *const route = this->hooks.route(this->head.route);
    if (route != nullptr && failed >= route->maxAttempts) {
        this->abandon(number, "it failed too often");
        return;
    }
    this->writeSoon();
    this->open.at(number).attempt->start();
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
    this->unwritten.emplace_back(number, ItemResult{this->items[number].id, ItemOutcome::Abandoned, {}});
    this->writeSoon();
}

void JobRun::checkRetention()
{
    const Route *const route = this->isLoaded ? this->hooks.route(this->head.route) : nullptr;
    const bool isKnown = route != nullptr && route->retention.count() > 0;
    if (isKnown && this->context.clock.wallNow() - this->head.submitted > route->retention) {
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
    if (this->isWriting || std::exchange(this->isWriteScheduled, true)) {
        return;
    }
    const auto grown = std::min(firstRetry * (1 << std::min(this->writeFailures, 4)), longestRetry);
    const std::chrono::milliseconds delay = this->writeFailures > 0 ? grown : gatherTime;
    this->timer = this->context.loop.schedule(delay, [self = this->shared_from_this()] {
        self->isWriteScheduled = false;
        if (!self->isOver) {
            self->write();
        }
    });
}

void JobRun::write()
{
    JobHead next = this->head;
    std::vector<ItemResult> results;
    std::size_t bytes = 0;
    for (const auto &[number, result] : this->unwritten) {
        const bool isFirst = results.empty();
        bytes += result.output.size();
        if (!isFirst && (results.size() >= mostResultsAtOnce || bytes > mostOutputAtOnce)) {
            break;
        }
        next.listed.push_back(number);
        results.push_back(result);
    }
    next.failures.clear();
    for (const auto &[number, failed] : this->failures) {
        next.failures.insert(next.failures.end(), failed, number);
    }
    this->hasNewFailures = false;
    std::optional<OpenJob> row;
    if (next.listed.size() < next.total) {
        const Route *const route = this->hooks.route(next.route);
        const std::chrono::milliseconds target = route != nullptr ? route->completionTarget : std::chrono::milliseconds(0);
        row = OpenJob{next.route, this->waitingTokens(next), next.submitted + target, this->self};
    }
    this->isWriting = true;
    this->store.update(this->job,
                       this->version,
                       next,
                       results,
                       row,
                       [self = this->shared_from_this(), next, count = results.size()](WriteOutcome outcome, RowVersion version) {
                           if (self->isOver) {
                               return;
                           }
                           self->isWriting = false;
                           if (outcome == WriteOutcome::Done) {
                               self->takeWritten(next, version, count);
                           } else {
                               self->takeUnwritten(outcome);
                           }
                       });
}

void JobRun::takeUnwritten(WriteOutcome outcome)
{
    ++this->writeFailures;
    this->hasNewFailures = true;
    log(LogLevel::Warning,
        "results not written",
        {{"job", this->job.value()},
         {"outcome", static_cast<std::int64_t>(outcome)},
         {"results", static_cast<std::int64_t>(this->unwritten.size())}});
    // The head may have changed, by this write or by another node: it is read before the next.
    this->timer = this->context.loop.schedule(firstRetry, [self = this->shared_from_this()] {
        if (!self->isOver) {
            self->load();
        }
    });
}

void JobRun::takeWritten(const JobHead &written, RowVersion version, std::size_t count)
{
    this->writeFailures = 0;
    this->head = written;
    this->version = version;
    this->unwritten.erase(this->unwritten.begin(), this->unwritten.begin() + static_cast<std::ptrdiff_t>(count));
    if (written.listed.size() >= written.total) {
        log(LogLevel::Info, "job complete", {{"job", this->job.value()}});
        const std::function<void()> over = this->hooks.over;
        this->cancel();
        over();
        return;
    }
    if (!this->unwritten.empty() || this->hasNewFailures) {
        this->writeSoon();
    }
}

std::uint64_t JobRun::waitingTokens(const JobHead &head) const
{
    std::uint64_t tokens = 0;
    for (std::uint32_t number = 0; number < this->items.size(); ++number) {
        const bool isListed = std::ranges::find(head.listed, number) != head.listed.end();
        tokens += isListed ? 0 : this->items[number].tokens;
    }
    return tokens;
}

} // namespace Dogwoodkeel
