#include <Services/Gateway/TableFollower.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** The delay of retries while the store does not answer. It doubles up to the maximum, which limits how late the store's return
 * is detected. */
constexpr std::chrono::milliseconds minRetryDelay{50};
constexpr std::chrono::milliseconds maxRetryDelay{400};
/** An answer of which nothing has arrived for this time, after the wait for a change, is taken for lost. Limits how late the
 * store's return is detected. */
constexpr std::chrono::milliseconds followTimeout{400};
/** Pages are large, and while a fleet starts, the store answers many reads at once. */
constexpr std::chrono::milliseconds pageTimeout{800};

} // namespace

TableFollower::TableFollower(Scheduler &scheduler, RowFeed &store, std::uint64_t seed, Options options, Hooks hooks)
    : scheduler(scheduler)
    , store(store)
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , options(std::move(options))
    , hooks(std::move(hooks))
{
    this->readAll();
}

TableFollower::~TableFollower()
{
    *this->alive = false;
    this->scheduler.cancel(this->timer);
}

void TableFollower::readAll()
{
    this->tableRead = {};
    this->readPage();
}

void TableFollower::request(SendCall send)
{
    this->firstCall = this->callNumber + 1;
    this->sendCall = std::move(send);
    this->sendRequest();
}

void TableFollower::sendRequest()
{
    this->hasProgress = false;
    this->watchRequest(this->sendCall());
}

void TableFollower::watchRequest(std::chrono::milliseconds timeout)
{
    this->schedule(timeout, [this] {
        if (std::exchange(this->hasProgress, false)) {
            this->watchRequest(followTimeout);
            return;
        }
        this->recordFailure();
        this->sendRequest();
    });
}

std::function<void()> TableFollower::progressHook(std::uint64_t number)
{
    return [this, alive = this->alive, number] {
        if (*alive && this->isCurrent(number)) {
            this->hasProgress = true;
        }
    };
}

std::chrono::milliseconds TableFollower::wait() const
{
    // After a failure the first answer is needed soon, whether or not there are changes.
    return this->failures > 0 ? std::chrono::milliseconds(0) : this->options.wait();
}

bool TableFollower::isCurrent(std::uint64_t number) const
{
    return number >= this->firstCall;
}

void TableFollower::readPage()
{
    this->request([this] {
        RowRange range;
        range.table = this->options.table;
        range.from = this->tableRead.from;
        const std::uint64_t number = ++this->callNumber;
        const auto receive = [this, alive = this->alive, number](const RowRangeResult &page) {
            if (*alive && this->isCurrent(number)) {
                this->applyPage(page);
            }
        };
        this->store.read(range, {receive, this->progressHook(number)});
        return pageTimeout;
    });
}

void TableFollower::applyPage(const RowRangeResult &page)
{
    if (page.outcome != ReadOutcome::Found) {
        // The pages read so far stay valid: changes since the first one are followed afterwards.
        this->retryLater([this] {
            this->sendRequest();
        });
        return;
    }
    const bool isFirst = this->tableRead.version == 0;
    if (page.version < std::max(this->knownVersion, this->tableRead.version)) {
        // An answer older than the known version comes from a store that lags behind.
        this->retryLater([this] {
            this->readAll();
        });
        return;
    }
    this->recordAnswer();
    this->tableRead.version = isFirst ? page.version : this->tableRead.version;
    this->tableRead.rows.insert(this->tableRead.rows.end(), page.rows.begin(), page.rows.end());
    if (page.isTruncated && !page.rows.empty()) {
        this->tableRead.from = page.rows.back().key.key + '\0';
        this->readPage();
        return;
    }
    const TableRead complete = std::exchange(this->tableRead, {});
    if (complete.version < this->knownVersion) {
        // Another node has sent a newer table meanwhile.
        this->readAll();
        return;
    }
    this->knownVersion = complete.version;
    this->hooks.onAnswer();
    this->hooks.onSnapshot(complete.rows);
    this->hooks.onDelivered();
    this->follow();
}

void TableFollower::refresh()
{
    this->request(this->sendCall);
}

void TableFollower::followFrom(RowVersion version)
{
    if (version <= this->knownVersion) {
        return;
    }
    const bool isFirst = this->knownVersion == 0;
    this->knownVersion = version;
    if (isFirst) {
        this->tableRead = {};
        this->follow();
    }
}

RowVersion TableFollower::version() const
{
    return this->knownVersion;
}

void TableFollower::follow()
{
    this->request([this] {
        const std::chrono::milliseconds wait = this->wait();
        const std::uint64_t number = ++this->callNumber;
        const auto receive = [this, alive = this->alive, number](const FollowResult &result) {
            if (*alive && this->isCurrent(number)) {
                this->applyChanges(result);
            }
        };
        this->store.follow(this->options.table, this->knownVersion, wait, {receive, this->progressHook(number)});
        return wait + followTimeout;
    });
}

void TableFollower::applyChanges(const FollowResult &result)
{
    if (result.outcome == FollowOutcome::HistoryLost) {
        log(LogLevel::Info, "table history lost, reading the whole table again", {{"table", this->options.table}});
        this->readAll();
        return;
    }
    if (result.outcome == FollowOutcome::Failed) {
        this->retryLater([this] {
            this->sendRequest();
        });
        return;
    }
    this->recordAnswer();
    const RowVersion deliveredBefore = this->knownVersion;
    this->knownVersion = std::max(this->knownVersion, result.version);
    this->hooks.onAnswer();
    for (const StoredRow &row : result.rows) {
        if (row.version > deliveredBefore) {
            this->hooks.onChange(row);
        }
    }
    this->hooks.onDelivered();
    this->schedule(result.rows.empty() ? std::chrono::milliseconds(0) : this->options.minInterval, [this] {
        this->follow();
    });
}

void TableFollower::recordAnswer()
{
    this->firstCall = this->callNumber + 1;
    this->failures = 0;
}

void TableFollower::recordFailure()
{
    if (this->failures == 0) {
        log(LogLevel::Warning, "lost the store", {{"table", this->options.table}});
    }
    this->hooks.onFailure();
    ++this->failures;
}

void TableFollower::retryLater(std::function<void()> request)
{
    const auto backoff = minRetryDelay * (1 << std::min(this->failures, 3));
    this->recordFailure();
    const auto maxDelay = std::min(backoff, maxRetryDelay);
    std::uniform_int_distribution<std::int64_t> spread(maxDelay.count() / 2, maxDelay.count());
    this->schedule(std::chrono::milliseconds(spread(this->random)), std::move(request));
}

void TableFollower::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    this->scheduler.cancel(std::exchange(this->timer, 0));
    this->timer = this->scheduler.schedule(delay, [this, action = std::move(action)] {
        this->timer = 0;
        action();
    });
}

} // namespace Dogwoodkeel
