#include <Services/Gateway/ListConfirmation.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Limits the calls to the store while many requests arrive one after another. */
constexpr std::chrono::milliseconds minCallInterval{100};
/** Covers the answer of a store that is in reach, and the interval at which followers apply changes. */
constexpr std::chrono::milliseconds confirmationTimeout{450};

} // namespace

ListConfirmation::ListConfirmation(
    Scheduler &scheduler, const Clock &clock, RowFeed &store, std::string table, std::function<RowVersion()> listVersion)
    : scheduler(scheduler), clock(clock), store(store), table(std::move(table)), listVersion(std::move(listVersion))
{
}

ListConfirmation::~ListConfirmation()
{
    *this->alive = false;
    this->scheduler.cancel(this->callTimer);
    this->scheduler.cancel(this->timeoutTimer);
}

void ListConfirmation::request(Handler handler)
{
    this->next.push_back(std::move(handler));
    this->scheduleCall();
}

void ListConfirmation::scheduleCall()
{
    if (this->isCalling || this->callTimer != 0 || this->next.empty()) {
        return;
    }
    const SteadyTime now = this->clock.now();
    const SteadyTime earliest = this->lastCall ? *this->lastCall + minCallInterval : now;
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(std::max(earliest, now) - now);
    this->callTimer = this->scheduler.schedule(delay, [this] {
        this->callTimer = 0;
        this->sendCall();
    });
}

void ListConfirmation::sendCall()
{
    this->isCalling = true;
    this->current = std::exchange(this->next, {});
    const RowVersion since = this->listVersion();
    if (since == 0) {
        this->finish(false);
        return;
    }
    this->lastCall = this->clock.now();
    this->timeoutTimer = this->scheduler.schedule(confirmationTimeout, [this] {
        this->finish(false);
    });
    this->store.follow(this->table,
                       since,
                       std::chrono::milliseconds(0),
                       [this, alive = this->alive, number = ++this->callNumber, since](const FollowResult &changes) {
                           if (*alive && this->isCalling && number == this->callNumber) {
                               this->receive(since, changes);
                           }
                       });
}

void ListConfirmation::receive(RowVersion since, const FollowResult &changes)
{
    if (changes.outcome != FollowOutcome::Followed) {
        this->finish(false);
        return;
    }
    RowVersion newest = since;
    for (const StoredRow &row : changes.rows) {
        newest = std::max(newest, row.version);
    }
    this->needed = newest;
    this->handleDelivery();
}

void ListConfirmation::handleDelivery()
{
    if (this->needed && this->listVersion() >= *this->needed) {
        this->finish(true);
    }
}

void ListConfirmation::finish(bool isConfirmed)
{
    this->scheduler.cancel(std::exchange(this->timeoutTimer, 0));
    this->needed.reset();
    this->isCalling = false;
    for (const Handler &handler : std::exchange(this->current, {})) {
        handler(isConfirmed);
    }
    this->scheduleCall();
}

} // namespace Dogwoodkeel
