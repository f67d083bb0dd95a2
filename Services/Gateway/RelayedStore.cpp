#include <Services/Gateway/RelayedStore.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** The relaying node's own call to the store may take 1.5 seconds. */
constexpr std::chrono::milliseconds relayTimeout{1700};
/** Other nodes that are tried for one call: one of them may have lost the store too without having detected it. */
constexpr std::size_t maxRelays = 2;
/** Another route is tried after this time, or after this multiple of the average latency, whichever is longer. Callers expect a
 * job to be accepted within about four times the minimum. */
constexpr std::chrono::milliseconds minHedgeDelay{150};
constexpr double hedgeLatencyFactor = 4;
constexpr double latencySmoothing = 0.1;
/** How long the direct route is not tried first after another one answered sooner. */
constexpr std::chrono::milliseconds retryDirectAfter{2000};

StoreRow encodeRow(const RowKey &key, const std::string &value, RowVersion version)
{
    return {key.table, key.part, key.key, value, version};
}

RowKey rowKeyOf(const StoreRow &row)
{
    return {row.table, row.part, row.key};
}

std::vector<StoreRow> encodeRows(const std::vector<StoredRow> &rows)
{
    std::vector<StoreRow> encoded;
    encoded.reserve(rows.size());
    for (const StoredRow &row : rows) {
        encoded.push_back(encodeRow(row.key, row.value, row.version));
    }
    return encoded;
}

std::vector<StoredRow> decodeRows(const std::vector<StoreRow> &rows)
{
    std::vector<StoredRow> decoded;
    decoded.reserve(rows.size());
    for (const StoreRow &row : rows) {
        decoded.push_back({rowKeyOf(row), row.value, row.version, false});
    }
    return decoded;
}

StoreTransactRequest encodeTransaction(const RowTransaction &transaction)
{
    StoreTransactRequest request;
    for (const RowExpectation &expectation : transaction.expectations) {
        request.expectations.push_back(encodeRow(expectation.key, {}, expectation.version));
    }
    for (const RowPut &put : transaction.puts) {
        request.puts.push_back(encodeRow(put.key, put.value, 0));
    }
    for (const RowKey &key : transaction.removals) {
        request.removals.push_back(encodeRow(key, {}, 0));
    }
    return request;
}

RowTransaction decodeTransaction(const StoreTransactRequest &request)
{
    RowTransaction transaction;
    for (const StoreRow &row : request.expectations) {
        transaction.expectations.push_back({rowKeyOf(row), row.version});
    }
    for (const StoreRow &row : request.puts) {
        transaction.puts.push_back({rowKeyOf(row), row.value});
    }
    for (const StoreRow &row : request.removals) {
        transaction.removals.push_back(rowKeyOf(row));
    }
    return transaction;
}

/** @return the outcome that a number stands for; Unknown if it stands for none. */
WriteOutcome outcomeOf(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(WriteOutcome::Unknown) ? static_cast<WriteOutcome>(number)
                                                                       : WriteOutcome::Unknown;
}

/** @return whether a repetition of a committed transaction is always refused. */
bool expectsAllItWrites(const RowTransaction &transaction)
{
    const auto isExpected = [&transaction](const RowKey &key) {
        return std::ranges::find(transaction.expectations, key, &RowExpectation::key) != transaction.expectations.end();
    };
    return std::ranges::all_of(transaction.puts, isExpected, &RowPut::key)
        && std::ranges::all_of(transaction.removals, isExpected);
}

using TransactCall = HedgedCall<RowTransactionResult>;
using ReadCall = HedgedCall<RowRangeResult>;

/** @return whether a result came from the store, so that the route works. */
bool isFromStore(const RowTransactionResult &result)
{
    return result.outcome == WriteOutcome::Done || result.outcome == WriteOutcome::Refused;
}

bool isFromStore(const RowRangeResult &result)
{
    return result.outcome != ReadOutcome::Failed;
}

TransactCall::Meaning meaningOf(const RowTransactionResult &result)
{
    switch (result.outcome) {
    case WriteOutcome::Done:
        return TransactCall::Meaning::Final;
    case WriteOutcome::NotApplied:
        return TransactCall::Meaning::Failed;
    case WriteOutcome::Refused:
        // Either another writer changed a row, or the same call was committed by another route.
    case WriteOutcome::Unknown:
        return TransactCall::Meaning::Unknown;
    }
    return TransactCall::Meaning::Unknown;
}

/** @return the result of a transaction that was tried by several routes and is not known to be committed by any. */
RowTransactionResult mergeResults(const std::vector<RowTransactionResult> &results)
{
    const auto find = [&results](WriteOutcome outcome) {
        return std::ranges::find(results, outcome, &RowTransactionResult::outcome);
    };
    const auto unknown = find(WriteOutcome::Unknown);
    const auto refused = find(WriteOutcome::Refused);
    return unknown != results.end() ? *unknown : refused != results.end() ? *refused : results.back();
}

} // namespace

RelayedStore::RelayedStore(
    Scheduler &scheduler, const Clock &clock, RowStore &direct, PeerNetwork &peers, StoreClock &storeClock, std::uint64_t seed)
    : scheduler(scheduler)
    , clock(clock)
    , direct(direct)
    , peers(peers)
    , storeClock(storeClock)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
    peers.server().handle<StoreTransactRequest>([this](const StoreTransactRequest &request, const auto &respond) {
        this->direct.transact(decodeTransaction(request), [this, respond](const RowTransactionResult &result) {
            respond(StoreTransactResponse{static_cast<std::uint32_t>(result.outcome),
                                          result.version,
                                          encodeRows(result.current),
                                          this->storeClock.now().value_or(StoreTime())});
        });
    });
    peers.server().handle<StoreReadRequest>([this](const StoreReadRequest &request, const auto &respond) {
        const RowRange range{request.table, request.part, request.from, request.to, request.limit};
        this->direct.read(range, [this, respond](const RowRangeResult &result) {
            const bool isRead = result.outcome == ReadOutcome::Found;
            respond(StoreReadResponse{isRead,
                                      encodeRows(result.rows),
                                      result.isTruncated,
                                      result.version,
                                      this->storeClock.now().value_or(StoreTime())});
        });
    });
}

RelayedStore::~RelayedStore()
{
    *this->alive = false;
}

bool RelayedStore::hasLostStore() const
{
    const MemberViewPointer view = this->peers.view();
    const Member *const own = view->find(this->peers.self());
    return own != nullptr && own->hasLostStore;
}

std::vector<Address> RelayedStore::relays()
{
    const MemberViewPointer view = this->peers.view();
    // If there are relays, only they follow the store and know whether they reach it.
    const bool hasRelays = std::ranges::any_of(view->members(), &Member::isRelay);
    std::vector<Address> found;
    for (std::size_t tries = 0; tries < maxRelays; ++tries) {
        const Member *const candidate = randomMember(*view, this->random, [this, &found, hasRelays](const Member &member) {
            return member.session != this->peers.self() && (member.isRelay || !hasRelays) && member.isReady && !member.isLeaving
                && !member.hasLostStore && std::ranges::find(found, member.owner) == found.end();
        });
        if (candidate != nullptr) {
            found.push_back(candidate->owner);
        }
    }
    return found;
}

std::vector<RelayedStore::Route> RelayedStore::routes()
{
    std::vector<Route> routes;
    const bool isSuspected = this->clock.now() < this->directSuspectedUntil;
    if (isSuspected && this->preferredRelay) {
        routes.emplace_back(this->preferredRelay);
    }
    for (const Address &relay : this->relays()) {
        if (!isSuspected || relay != this->preferredRelay) {
            routes.emplace_back(relay);
        }
    }
    const bool isDirectFirst = !isSuspected && !this->hasLostStore();
    routes.insert(isDirectFirst ? routes.begin() : routes.end(), std::nullopt);
    return routes;
}

std::chrono::milliseconds RelayedStore::hedgeDelay() const
{
    const auto multiple = std::chrono::ceil<std::chrono::milliseconds>(this->averageLatency * hedgeLatencyFactor);
    return std::max(minHedgeDelay, multiple);
}

void RelayedStore::recordAnswer(const Route &route, SteadyTime started)
{
    const std::chrono::duration<double, std::milli> took = this->clock.now() - started;
    if (!route) {
        this->averageLatency += (took - this->averageLatency) * latencySmoothing;
        this->directSuspectedUntil = {};
        return;
    }
    this->preferredRelay = route;
    this->directSuspectedUntil = this->clock.now() + retryDirectAfter;
}

template <typename Result, typename Attempt>
void RelayedStore::hedge(const Attempt &attempt,
                         typename HedgedCall<Result>::Policy policy,
                         typename HedgedCall<Result>::Done done)
{
    using Call = HedgedCall<Result>;
    std::vector<typename Call::Route> routes;
    for (const Route &route : this->routes()) {
        routes.emplace_back([this, alive = this->alive, route, attempt](typename Call::Done answered) {
            if (!*alive) {
                return;
            }
            const SteadyTime started = this->clock.now();
            attempt(route, [this, alive, route, started, answered = std::move(answered)](const Result &result) {
                if (!*alive) {
                    return;
                }
                if (isFromStore(result)) {
                    this->recordAnswer(route, started);
                }
                answered(result);
            });
        });
    }
    std::make_shared<Call>(this->scheduler, std::move(routes), std::move(policy), std::move(done))->start();
}

void RelayedStore::transact(RowTransaction transaction, std::function<void(RowTransactionResult)> done)
{
    // Shared by all routes: the rows of a job may be large.
    const auto shared = std::make_shared<const RowTransaction>(std::move(transaction));
    this->hedge<RowTransactionResult>(
        [this, shared](const Route &route, TransactCall::Done answered) {
            if (route) {
                this->transactThrough(*route, *shared, std::move(answered));
            } else {
                this->direct.transact(*shared, std::move(answered));
            }
        },
        {
            // Without these expectations it could be committed twice, the second time overwriting the change of another writer.
            .hedgeDelay = expectsAllItWrites(*shared) ? std::optional(this->hedgeDelay()) : std::nullopt,
            .meaning = &meaningOf,
            .merge = &mergeResults,
        },
        std::move(done));
}

void RelayedStore::transactThrough(const Address &peer,
                                   const RowTransaction &transaction,
                                   std::function<void(RowTransactionResult)> done)
{
    this->peers.client().call(
        peer,
        encodeTransaction(transaction),
        relayTimeout,
        [this, alive = this->alive, done = std::move(done)](const CallResult<StoreTransactResponse> &result) {
            if (!*alive) {
                return;
            }
            RowTransactionResult relayed;
            if (result.response) {
                this->recordStoreTime(result.response->storeNow);
                relayed.outcome = outcomeOf(result.response->outcome);
                relayed.version = result.response->version;
                relayed.current = decodeRows(result.response->current);
            } else if (result.outcome == CallOutcome::NotSent) {
                relayed.outcome = WriteOutcome::NotApplied;
            }
            done(std::move(relayed));
        });
}

void RelayedStore::recordStoreTime(StoreTime reported)
{
    // The epoch means that the other node does not know the time either.
    if (reported != StoreTime()) {
        this->storeClock.record(reported);
    }
}

void RelayedStore::read(RowRange range, FeedCallback<RowRangeResult> done)
{
    this->hedge<RowRangeResult>(
        [this, range = std::move(range)](const Route &route, ReadCall::Done answered) {
            if (route) {
                this->readThrough(*route, range, std::move(answered));
            } else {
                this->direct.read(range, std::move(answered));
            }
        },
        {
            .hedgeDelay = this->hedgeDelay(),
            .meaning =
                [](const RowRangeResult &result) {
                    return isFromStore(result) ? ReadCall::Meaning::Final : ReadCall::Meaning::Failed;
                },
            .merge =
                [](const std::vector<RowRangeResult> &results) {
                    return results.back();
                },
        },
        std::move(done));
}

void RelayedStore::readThrough(const Address &peer, const RowRange &range, std::function<void(RowRangeResult)> done)
{
    const StoreReadRequest request{range.table, range.part, range.from, range.to, static_cast<std::uint32_t>(range.limit)};
    this->peers.client().call(peer,
                              request,
                              relayTimeout,
                              [this, alive = this->alive, done = std::move(done)](const CallResult<StoreReadResponse> &result) {
                                  if (!*alive) {
                                      return;
                                  }
                                  RowRangeResult relayed;
                                  if (result.response && result.response->isRead) {
                                      this->recordStoreTime(result.response->storeNow);
                                      relayed.outcome = ReadOutcome::Found;
                                      relayed.rows = decodeRows(result.response->rows);
                                      relayed.isTruncated = result.response->isTruncated;
                                      relayed.version = result.response->version;
                                  }
                                  done(std::move(relayed));
                              });
}

void RelayedStore::follow(const std::string &table,
                          RowVersion since,
                          std::chrono::milliseconds wait,
                          FeedCallback<FollowResult> done)
{
    this->direct.follow(table, since, wait, std::move(done));
}

void RelayedStore::putObject(const std::string &name, std::string content, std::function<void(WriteOutcome)> done)
{
    this->direct.putObject(name, std::move(content), std::move(done));
}

void RelayedStore::readObject(const std::string &name, std::function<void(ReadOutcome, std::string)> done)
{
    this->direct.readObject(name, std::move(done));
}

void RelayedStore::listParts(const std::string &table, const std::string &after, std::function<void(RowPartsResult)> done)
{
    this->direct.listParts(table, after, std::move(done));
}

void RelayedStore::removeObject(const std::string &name, std::function<void(WriteOutcome)> done)
{
    this->direct.removeObject(name, std::move(done));
}

} // namespace Dogwoodkeel
