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

RelayedFeed::RelayedFeed(Scheduler &scheduler, RowFeed &store, PeerNetwork &peers, TableRelay &own, RelaySelector &relays)
    : scheduler(scheduler), store(store), peers(peers), own(own), relays(relays)
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

void RelayedFeed::read(RowRange range, std::function<void(RowRangeResult)> done)
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
    this->peers.client().call(relay->owner,
                              FeedReadRequest{range.table, range.from},
                              relayTimeout,
                              [this, alive = this->alive, relay = *relay, table = range.table, done = std::move(done)](
                                  const CallResult<FeedAnswer> &result) {
                                  if (!*alive) {
                                      return;
                                  }
                                  RowRangeResult read;
                                  if (this->recordOutcome(relay, table, result)) {
                                      read.outcome = ReadOutcome::Found;
                                      read.rows = decodeFeed(*result.response, table).rows;
                                      read.isTruncated = result.response->isTruncated;
                                      read.version = result.response->version;
                                  }
                                  done(std::move(read));
                              });
}

void RelayedFeed::follow(const std::string &table,
                         RowVersion since,
                         std::chrono::milliseconds wait,
                         std::function<void(FollowResult)> done)
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
            const bool isDelivered = this->recordOutcome(relay, table, result);
            done(isDelivered ? decodeFeed(*result.response, table) : FollowResult());
        });
}

} // namespace Dogwoodkeel
