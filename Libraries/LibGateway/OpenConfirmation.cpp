#include <LibGateway/OpenConfirmation.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Delay between two queries while the store does not reply. */
constexpr std::chrono::milliseconds retryInterval{400};

} // namespace

OpenConfirmation::OpenConfirmation(Scheduler &scheduler, const Clock &clock, std::chrono::milliseconds validity, Hooks hooks)
    : scheduler(scheduler), clock(clock), validity(validity), hooks(std::move(hooks))
{
}

OpenConfirmation::~OpenConfirmation()
{
    this->cancel();
}

SteadyTime OpenConfirmation::queryTime() const
{
    // The steady clock stops while the machine is suspended, but the job may end meanwhile.
    return this->clock.now() + std::chrono::duration_cast<SteadyTime::duration>(this->clock.suspended());
}

void OpenConfirmation::recordOpen(SteadyTime queriedAt)
{
    this->confirmedAt = std::max(queriedAt, this->confirmedAt.value_or(queriedAt));
}

std::optional<std::chrono::milliseconds> OpenConfirmation::validAge() const
{
    if (!this->confirmedAt) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(this->queryTime() - *this->confirmedAt);
    return age <= this->validity ? std::optional(age) : std::nullopt;
}

void OpenConfirmation::request(Callback callback)
{
    if (const std::optional<std::chrono::milliseconds> age = this->validAge()) {
        callback(age);
        return;
    }
    this->waiting.push_back(std::move(callback));
    if (!this->isQuerying && this->retryTimer == 0) {
        this->query();
    }
}

void OpenConfirmation::requery()
{
    this->confirmedAt.reset();
    this->isRequerying = true;
    if (this->retryTimer == 0) {
        this->query();
    }
}

void OpenConfirmation::cancel()
{
    *this->alive = false;
    this->alive = std::make_shared<bool>(true);
    this->isQuerying = false;
    this->isRequerying = false;
    this->waiting.clear();
    this->scheduler.cancel(std::exchange(this->retryTimer, 0));
}

void OpenConfirmation::query()
{
    this->isQuerying = true;
    this->hooks.query([this, alive = this->alive, queriedAt = this->queryTime(), number = ++this->queryNumber](Reply reply) {
        if (*alive && number == this->queryNumber) {
            this->handleReply(reply, queriedAt);
        }
    });
}

void OpenConfirmation::handleReply(Reply reply, SteadyTime queriedAt)
{
    this->isQuerying = false;
    switch (reply) {
    case Reply::Open:
        this->isRequerying = false;
        this->recordOpen(queriedAt);
        // A reply that was delayed may already be too old.
        this->notifyWaiting(this->validAge());
        return;
    case Reply::Closed:
        this->hooks.closed();
        return;
    case Reply::Unknown:
        this->retryTimer = this->scheduler.schedule(retryInterval, [this] {
            this->retryTimer = 0;
            if (this->isRequerying || !this->waiting.empty()) {
                this->query();
            }
        });
        this->notifyWaiting(std::nullopt);
        return;
    }
}

void OpenConfirmation::notifyWaiting(std::optional<std::chrono::milliseconds> age)
{
    const std::shared_ptr<bool> alive = this->alive;
    for (const Callback &callback : std::exchange(this->waiting, {})) {
        if (*alive) {
            callback(age);
        }
    }
}

} // namespace Dogwoodkeel
