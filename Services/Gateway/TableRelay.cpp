#include <Services/Gateway/TableRelay.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Changes are handled in groups: each group costs one answer to every node of the failure domain. */
constexpr std::chrono::milliseconds changesInterval{100};
/** The maximum number of rows in one answer. */
constexpr std::size_t maxRows = 500;
/** The limit for the wait that a request may state. */
constexpr std::chrono::milliseconds maxWait{10000};
/** Answers to a change are logged if they have this size together: they occupy the link of a small VM for tens of milliseconds.
 */
constexpr std::size_t minLoggedBytes = 65536;

FollowResult failed()
{
    return {FollowOutcome::Failed, {}, 0};
}

std::vector<FeedRow> encodeRows(const std::vector<StoredRow> &rows, const TableRelay::EncodeRow &encodeRow)
{
    std::vector<FeedRow> encoded;
    encoded.reserve(rows.size());
    std::ranges::transform(rows, std::back_inserter(encoded), encodeRow);
    return encoded;
}

} // namespace

FeedRow encodeWholeRow(const StoredRow &row)
{
    return {row.key.part, row.key.key, row.isRemoved ? std::string() : row.value, row.version, row.isRemoved, {}};
}

FeedAnswer encodeFeed(const FollowResult &result, const TableRelay::EncodeRow &encodeRow)
{
    switch (result.outcome) {
    case FollowOutcome::Followed:
        return {FeedOutcome::Delivered, encodeRows(result.rows, encodeRow), result.version, false};
    case FollowOutcome::HistoryLost:
        return {FeedOutcome::HistoryLost, {}, result.version, false};
    case FollowOutcome::Failed:
        break;
    }
    return {FeedOutcome::NotRelay, {}, 0, false};
}

FollowResult decodeFeed(const FeedAnswer &answer, const std::string &table)
{
    FollowResult result;
    if (answer.outcome == FeedOutcome::NotRelay) {
        return result;
    }
    result.outcome = answer.outcome == FeedOutcome::Delivered ? FollowOutcome::Followed : FollowOutcome::HistoryLost;
    result.version = answer.version;
    for (const FeedRow &row : answer.rows) {
        result.rows.push_back({{table, row.part, row.key}, row.value, row.version, row.isRemoved});
    }
    return result;
}

TableRelay::TableRelay(Scheduler &scheduler, RowFeed &store, Options options)
    : scheduler(scheduler), store(store), options(std::move(options))
{
    for (const std::string &name : this->options.tables) {
        this->tables.try_emplace(name).first->second.name = name;
    }
}

TableRelay::~TableRelay()
{
    for (auto &[name, table] : this->tables) {
        this->stop(table);
    }
}

void TableRelay::serve(PeerServer &server, const EncodeRow &encodeRow)
{
    server.handle<FeedReadRequest>([this, encodeRow](const FeedReadRequest &request, const auto &respond) {
        respond(this->answer(request, encodeRow));
    });
    server.handle<FeedFollowRequest>([this, encodeRow](const FeedFollowRequest &request, const auto &respond) {
        const auto answer = [respond, encodeRow](const FollowResult &result) {
            respond(encodeFeed(result, encodeRow));
        };
        this->follow(request.table, request.since, std::min(request.wait, maxWait), answer);
    });
}

void TableRelay::setActive(bool isActive)
{
    for (auto &[name, table] : this->tables) {
        if (isActive && !table.follower) {
            this->start(table);
        } else if (!isActive) {
            this->stop(table);
        }
    }
}

void TableRelay::start(Table &table)
{
    TableFollower::Hooks hooks{
        .onSnapshot =
            [&table](const std::vector<StoredRow> &rows) {
                table.mirror.replaceAll(rows, table.follower ? table.follower->version() : 0);
            },
        .onChange =
            [&table](const StoredRow &row) {
                table.mirror.apply(row);
            },
        .onDelivered =
            [this, &table] {
                table.mirror.advanceTo(table.follower->version());
                this->notifyWaiters(table);
            },
        .onAnswer =
            [&table] {
                table.isStoreAnswering = true;
            },
        .onFailure =
            [this, &table] {
                table.isStoreAnswering = false;
                this->notifyWaiters(table);
            },
    };
    const auto wait = [wait = this->options.storeWait] {
        return wait;
    };
    const std::uint64_t seed = stableHash(table.name, this->options.seed);
    table.follower = std::make_unique<TableFollower>(
        this->scheduler, this->store, seed, TableFollower::Options{table.name, wait, changesInterval}, std::move(hooks));
}

void TableRelay::stop(Table &table)
{
    table.follower.reset();
    table.isStoreAnswering = false;
    this->notifyWaiters(table);
    table.mirror = TableMirror();
}

void TableRelay::refresh()
{
    for (auto &[name, table] : this->tables) {
        if (table.follower) {
            table.follower->refresh();
        }
    }
}

bool TableRelay::isCurrent(const std::string &table) const
{
    const auto found = this->tables.find(table);
    return found != this->tables.end() && found->second.isStoreAnswering && found->second.mirror.isRead();
}

RowRangeResult TableRelay::read(const RowRange &range) const
{
    if (!this->isCurrent(range.table)) {
        return {};
    }
    return this->tables.at(range.table).mirror.read(range.part, range.from, maxRows);
}

FeedAnswer TableRelay::answer(const FeedReadRequest &request, const EncodeRow &encodeRow) const
{
    const RowRangeResult result = this->read({request.table, {}, request.from, {}, 0});
    if (result.outcome != ReadOutcome::Found) {
        return {FeedOutcome::NotRelay, {}, 0, false};
    }
    return {FeedOutcome::Delivered, encodeRows(result.rows, encodeRow), result.version, result.isTruncated};
}

void TableRelay::follow(const std::string &table,
                        RowVersion since,
                        std::chrono::milliseconds wait,
                        std::function<void(FollowResult)> done)
{
    if (!this->isCurrent(table)) {
        done(failed());
        return;
    }
    Table &followed = this->tables.at(table);
    const FollowResult changes = followed.mirror.changesSince(since);
    if (changes.outcome == FollowOutcome::HistoryLost || !changes.rows.empty()) {
        done(changes);
        return;
    }
    const WaiterId id = ++this->lastWaiter;
    const TimerId timer = this->scheduler.schedule(wait, [this, &followed, id] {
        this->complete(followed, id, followed.mirror.changesSince(followed.waiters.at(id).since));
    });
    followed.waiters.emplace(id, Waiter{since, std::move(done), timer});
}

void TableRelay::notifyWaiters(Table &table)
{
    std::vector<std::pair<WaiterId, FollowResult>> ready;
    for (const auto &[id, waiter] : table.waiters) {
        FollowResult result = table.isStoreAnswering ? table.mirror.changesSince(waiter.since) : failed();
        if (result.outcome != FollowOutcome::Followed || !result.rows.empty()) {
            ready.emplace_back(id, std::move(result));
        }
    }
    logLargeAnswers(table, ready);
    for (const auto &[id, result] : ready) {
        this->complete(table, id, result);
    }
}

void TableRelay::logLargeAnswers(const Table &table, const std::vector<std::pair<WaiterId, FollowResult>> &answers)
{
    std::size_t bytes = 0;
    for (const auto &[id, result] : answers) {
        for (const StoredRow &row : result.rows) {
            bytes += row.value.size();
        }
    }
    if (bytes >= minLoggedBytes) {
        log(LogLevel::Info,
            "large changes sent to followers",
            {{"table", table.name},
             {"followers", static_cast<std::int64_t>(answers.size())},
             {"bytes", static_cast<std::int64_t>(bytes)}});
    }
}

void TableRelay::complete(Table &table, WaiterId id, const FollowResult &result)
{
    auto waiter = table.waiters.extract(id);
    if (!waiter.empty()) {
        this->scheduler.cancel(waiter.mapped().timer);
        waiter.mapped().done(result);
    }
}

} // namespace Dogwoodkeel
