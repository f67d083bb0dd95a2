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

void TableFollower::readPage()
{
    this->repeatRequest = [this] {
        this->readPage();
    };
    RowRange range;
    range.table = this->options.table;
    range.from = this->tableRead.from;
    this->store.read(range, [this, alive = this->alive, number = ++this->requestNumber](const RowRangeResult &page) {
        if (*alive && number == this->requestNumber) {
            this->applyPage(page);
        }
    });
}

void TableFollower::applyPage(const RowRangeResult &page)
{
    if (page.outcome != ReadOutcome::Found) {
        // The pages read so far stay valid: changes since the first one are followed afterwards.
        this->retryLater([this] {
            this->readPage();
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
    this->failures = 0;
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
    this->scheduler.cancel(std::exchange(this->timer, 0));
    this->repeatRequest();
}

void TableFollower::followFrom(RowVersion version)
{
    if (version <= this->knownVersion) {
        return;
    }
    const bool isFirst = this->knownVersion == 0;
    this->knownVersion = version;
    if (isFirst) {
        this->scheduler.cancel(std::exchange(this->timer, 0));
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
    this->repeatRequest = [this] {
        this->follow();
    };
    this->store.follow(this->options.table,
                       this->knownVersion,
                       this->options.wait(),
                       [this, alive = this->alive, number = ++this->requestNumber](const FollowResult &result) {
                           if (*alive && number == this->requestNumber) {
                               this->applyChanges(result);
                           }
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
            this->follow();
        });
        return;
    }
    this->failures = 0;
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

void TableFollower::retryLater(std::function<void()> request)
{
    if (this->failures == 0) {
        log(LogLevel::Warning, "lost the store", {{"table", this->options.table}});
    }
    this->hooks.onFailure();
    const auto backoff = minRetryDelay * (1 << std::min(this->failures, 3));
    ++this->failures;
    const auto maxDelay = std::min(backoff, maxRetryDelay);
    std::uniform_int_distribution<std::int64_t> spread(maxDelay.count() / 2, maxDelay.count());
    this->schedule(std::chrono::milliseconds(spread(this->random)), std::move(request));
}

void TableFollower::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    this->timer = this->scheduler.schedule(delay, [this, action = std::move(action)] {
        this->timer = 0;
        action();
    });
}

} // namespace Dogwoodkeel
