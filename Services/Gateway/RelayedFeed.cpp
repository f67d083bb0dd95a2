#include <Services/Gateway/RelayedFeed.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A relay answers from memory; one that does not within this time, beside what it was asked to wait, is cut off. */
constexpr std::chrono::milliseconds relayTimeout{400};
/** After so many calls to relays that told nothing, the store is asked itself: this node may be cut off from the others, and they
 * from the store. */
constexpr std::size_t mostFailures = 2;

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
    if (this->failures >= mostFailures) {
        this->failures = 0;
        return nullptr;
    }
    return this->relays.select();
}

bool RelayedFeed::judge(SessionNumber relay, const CallResult<FeedAnswer> &result)
{
    if (result.response && result.response->outcome != FeedOutcome::NotRelay) {
        this->failures = 0;
        return true;
    }
    ++this->failures;
    if (result.response) {
        this->relays.recordOutdated(relay);
    } else {
        this->relays.recordUnresponsive(relay);
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
                              [this, alive = this->alive, asked = relay->session, table = range.table, done = std::move(done)](
                                  const CallResult<FeedAnswer> &result) {
                                  if (!*alive) {
                                      return;
                                  }
                                  RowRangeResult read;
                                  if (this->judge(asked, result)) {
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
        // Answered from the loop, never from inside this call.
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
        [this, alive = this->alive, asked = relay->session, table, done = std::move(done)](const CallResult<FeedAnswer> &result) {
            if (!*alive) {
                return;
            }
            const bool isTold = this->judge(asked, result);
            done(isTold ? decodeFeed(*result.response, table) : FollowResult());
        });
}

} // namespace Dogwoodkeel
