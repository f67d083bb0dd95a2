#include <Services/Gateway/RelayedStore.h>

#include <LibBase/Log.h>

#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** The other node's own call may take a second and a half. */
constexpr std::chrono::milliseconds relayTimeout{1700};

StoreRow encodeRow(const RowPlace &place, const std::string &value, RowVersion version)
{
    return {place.table, place.part, place.key, value, version};
}

RowPlace placeOf(const StoreRow &row)
{
    return {row.table, row.part, row.key};
}

std::vector<StoreRow> encodeRows(const std::vector<StoredRow> &rows)
{
    std::vector<StoreRow> encoded;
    encoded.reserve(rows.size());
    for (const StoredRow &row : rows) {
        encoded.push_back(encodeRow(row.place, row.value, row.version));
    }
    return encoded;
}

std::vector<StoredRow> decodeRows(const std::vector<StoreRow> &rows)
{
    std::vector<StoredRow> decoded;
    decoded.reserve(rows.size());
    for (const StoreRow &row : rows) {
        decoded.push_back({placeOf(row), row.value, row.version, false});
    }
    return decoded;
}

StoreTransactRequest encodeTransaction(const RowTransaction &transaction)
{
    StoreTransactRequest request;
    for (const RowExpectation &expectation : transaction.expectations) {
        request.expectations.push_back(encodeRow(expectation.place, {}, expectation.version));
    }
    for (const RowPut &put : transaction.puts) {
        request.puts.push_back(encodeRow(put.place, put.value, 0));
    }
    for (const RowPlace &place : transaction.removals) {
        request.removals.push_back(encodeRow(place, {}, 0));
    }
    return request;
}

RowTransaction decodeTransaction(const StoreTransactRequest &request)
{
    RowTransaction transaction;
    for (const StoreRow &row : request.expectations) {
        transaction.expectations.push_back({placeOf(row), row.version});
    }
    for (const StoreRow &row : request.puts) {
        transaction.puts.push_back({placeOf(row), row.value});
    }
    for (const StoreRow &row : request.removals) {
        transaction.removals.push_back(placeOf(row));
    }
    return transaction;
}

/** @return the outcome behind a number; one that is none may be anything. */
WriteOutcome outcomeOf(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(WriteOutcome::Unknown) ? static_cast<WriteOutcome>(number)
                                                                       : WriteOutcome::Unknown;
}

} // namespace

RelayedStore::RelayedStore(RowStore &direct, PeerNetwork &peers, StoreClock &storeClock, std::uint64_t seed)
    : direct(direct), peers(peers), storeClock(storeClock), random(static_cast<std::minstd_rand::result_type>(seed))
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

std::optional<Address> RelayedStore::relay()
{
    const MemberViewPointer view = this->peers.view();
    const Member *const reaching = randomMember(*view, this->random, [this](const Member &member) {
        return member.session != this->peers.self() && member.isReady && !member.isLeaving && !member.hasLostStore;
    });
    return reaching != nullptr ? std::optional(reaching->owner) : std::nullopt;
}

void RelayedStore::transact(RowTransaction transaction, std::function<void(RowTransactionResult)> done)
{
    const std::optional<Address> peer = this->hasLostStore() ? this->relay() : std::nullopt;
    if (peer) {
        this->transactThrough(*peer, transaction, std::move(done));
        return;
    }
    this->direct.transact(transaction,
                          [this, alive = this->alive, transaction, done = std::move(done)](RowTransactionResult result) {
                              // Only what is proved not to have been done may be tried by another way.
                              const bool mayRelay = *alive && result.outcome == WriteOutcome::NotApplied;
                              const std::optional<Address> other = mayRelay ? this->relay() : std::nullopt;
                              if (other) {
                                  this->transactThrough(*other, transaction, done);
                              } else {
                                  done(std::move(result));
                              }
                          });
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
                this->noteTime(result.response->storeNow);
                relayed.outcome = outcomeOf(result.response->outcome);
                relayed.version = result.response->version;
                relayed.current = decodeRows(result.response->current);
            } else if (result.outcome == CallOutcome::NotSent) {
                relayed.outcome = WriteOutcome::NotApplied;
            }
            done(std::move(relayed));
        });
}

void RelayedStore::noteTime(StoreTime told)
{
    // The epoch: the other node does not know it either.
    if (told != StoreTime()) {
        this->storeClock.note(told);
    }
}

void RelayedStore::read(RowRange range, std::function<void(RowRangeResult)> done)
{
    const std::optional<Address> peer = this->hasLostStore() ? this->relay() : std::nullopt;
    if (peer) {
        this->readThrough(*peer, range, std::move(done));
        return;
    }
    this->direct.read(range, [this, alive = this->alive, range, done = std::move(done)](RowRangeResult result) {
        const bool mayRelay = *alive && result.outcome == ReadOutcome::Failed;
        const std::optional<Address> other = mayRelay ? this->relay() : std::nullopt;
        if (other) {
            this->readThrough(*other, range, done);
        } else {
            done(std::move(result));
        }
    });
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
                                      this->noteTime(result.response->storeNow);
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
                          std::function<void(FollowResult)> done)
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
