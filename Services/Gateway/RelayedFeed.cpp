#include <Services/Gateway/RelayedFeed.h>

#include <LibBase/Log.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A relay answers from memory; one that does not answer within this time, in addition to the requested wait, counts as
 * unresponsive. */
constexpr std::chrono::milliseconds relayTimeout{400};
/** After this many consecutive calls without a usable answer, the next call goes to the store itself: this node may be
 * disconnected from the relays, or the relays from the store. */
constexpr std::size_t maxFailures = 2;

} // namespace

RelayedFeed::RelayedFeed(
    Scheduler &scheduler, RowFeed &store, PeerNetwork &peers, TableRelay &own, RelaySelector &relays, ChunkExchange &chunks)
    : scheduler(scheduler), store(store), peers(peers), own(own), relays(relays), chunks(chunks)
{
}

RelayedFeed::~RelayedFeed()
{
    *this->alive = false;
}

const Member *RelayedFeed::relay()
{
    if (this->failures >= maxFailures) {
        this->failures = 0;
        return nullptr;
    }
    return this->relays.select();
}

bool RelayedFeed::recordOutcome(const Member &relay, const std::string &table, const CallResult<FeedAnswer> &result)
{
    if (result.response && result.response->outcome != FeedOutcome::NotRelay) {
        this->failures = 0;
        return true;
    }
    ++this->failures;
    log(LogLevel::Info,
        "relay delivered no rows",
        {{"relay", relay.vm.value()},
         {"table", table},
         {"reason", std::string(result.response ? "it does not follow the table" : "no answer in time")},
         {"failures", static_cast<std::int64_t>(this->failures)}});
    if (result.response) {
        this->relays.recordOutdated(relay.session);
    } else {
        this->relays.recordUnresponsive(relay.session);
    }
    return false;
}

void RelayedFeed::read(RowRange range, FeedCallback<RowRangeResult> done)
{
    if (this->own.isCurrent(range.table)) {
        this->scheduler.schedule(std::chrono::milliseconds(0),
                                 [alive = this->alive, result = this->own.read(range), done = std::move(done)] {
                                     if (*alive) {
                                         done(result);
                                     }
                                 });
        return;
    }
    const Member *const relay = this->relay();
    if (relay == nullptr) {
        this->store.read(std::move(range), std::move(done));
        return;
    }
    this->peers.client().call(
        relay->owner,
        FeedReadRequest{range.table, range.from},
        relayTimeout,
        [this, alive = this->alive, relay = *relay, table = range.table, done = std::move(done)](
            const CallResult<FeedAnswer> &result) {
            if (!*alive) {
                return;
            }
            if (!this->recordOutcome(relay, table, result)) {
                done({});
                return;
            }
            const FeedAnswer &answer = *result.response;
            const auto receive = [done, version = answer.version, isTruncated = answer.isTruncated](auto rows) {
                done(rows ? RowRangeResult{ReadOutcome::Found, *std::move(rows), isTruncated, version} : RowRangeResult());
            };
            this->receiveRows(answer, decodeFeed(answer, table).rows, relay, receive, done.progress());
        });
}

void RelayedFeed::follow(const std::string &table,
                         RowVersion since,
                         std::chrono::milliseconds wait,
                         FeedCallback<FollowResult> done)
{
    if (this->own.isCurrent(table)) {
        // Answers from the event loop, never from within this call.
        this->own.follow(table,
                         since,
                         wait,
                         [&scheduler = this->scheduler, alive = this->alive, done = std::move(done)](const FollowResult &result) {
                             scheduler.schedule(std::chrono::milliseconds(0), [alive, result, done] {
                                 if (*alive) {
                                     done(result);
                                 }
                             });
                         });
        return;
    }
    const Member *const relay = this->relay();
    if (relay == nullptr) {
        this->store.follow(table, since, wait, std::move(done));
        return;
    }
    this->peers.client().call(
        relay->owner,
        FeedFollowRequest{table, since, wait},
        wait + relayTimeout,
        [this, alive = this->alive, relay = *relay, table, done = std::move(done)](const CallResult<FeedAnswer> &result) {
            if (!*alive) {
                return;
            }
            if (!this->recordOutcome(relay, table, result)) {
                done({});
                return;
            }
            FollowResult changes = decodeFeed(*result.response, table);
            const auto receive = [done, outcome = changes.outcome, version = changes.version](auto rows) {
                done(rows ? FollowResult{outcome, *std::move(rows), version} : FollowResult());
            };
            this->receiveRows(*result.response, std::move(changes.rows), relay, receive, done.progress());
        });
}

void RelayedFeed::receiveRows(const FeedAnswer &answer,
                              std::vector<StoredRow> rows,
                              const Member &relay,
                              RowsReceived done,
                              std::function<void()> progressed)
{
    const auto reception = std::make_shared<Reception>();
    reception->rows = std::move(rows);
    reception->relay = relay;
    reception->done = std::move(done);
    reception->progressed = std::move(progressed);
    for (std::size_t index = 0; index < answer.rows.size(); ++index) {
        if (!answer.rows[index].outline.chunks.empty()) {
            reception->missing.emplace(index, answer.rows[index].outline);
        }
    }
    this->fetchNext(reception);
}

void RelayedFeed::fetchNext(const std::shared_ptr<Reception> &reception)
{
    const auto next = reception->missing.begin();
    if (next == reception->missing.end()) {
        reception->done(std::move(reception->rows));
        return;
    }
    const std::size_t index = next->first;
    const TextOutline &outline = next->second;
    const auto receive = [this, alive = this->alive, reception, index](std::optional<std::string> value) {
        if (*alive) {
            this->receiveValue(reception, index, std::move(value));
        }
    };
    this->chunks.fetch(reception->rows[index].key, outline, reception->relay.owner, receive, reception->progressed);
}

void RelayedFeed::receiveValue(const std::shared_ptr<Reception> &reception, std::size_t index, std::optional<std::string> value)
{
    StoredRow &row = reception->rows[index];
    if (!value) {
        log(LogLevel::Info, "large value not received", {{"relay", reception->relay.vm.value()}, {"table", row.key.table}});
        this->relays.recordUnresponsive(reception->relay.session);
        reception->done(std::nullopt);
        return;
    }
    row.value = *std::move(value);
    reception->missing.erase(index);
    this->fetchNext(reception);
}

} // namespace Dogwoodkeel
