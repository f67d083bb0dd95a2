#include <LibGateway/OpenConfirmation.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Delay between two queries while the store does not reply. */
constexpr std::chrono::milliseconds retryPause{400};

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

void OpenConfirmation::recordOpen(SteadyTime asked)
{
    this->confirmed = std::max(asked, this->confirmed.value_or(asked));
}

std::optional<std::chrono::milliseconds> OpenConfirmation::validAge() const
{
    if (!this->confirmed) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(this->queryTime() - *this->confirmed);
    return age <= this->validity ? std::optional(age) : std::nullopt;
}

void OpenConfirmation::request(Callback confirmed)
{
    if (const std::optional<std::chrono::milliseconds> age = this->validAge()) {
        confirmed(age);
        return;
    }
    this->waiting.push_back(std::move(confirmed));
    if (!this->isAsking && this->retryTimer == 0) {
        this->query();
    }
}

void OpenConfirmation::requery()
{
    this->confirmed.reset();
    this->isRenewing = true;
    if (this->retryTimer == 0) {
        this->query();
    }
}

void OpenConfirmation::cancel()
{
    *this->alive = false;
    this->alive = std::make_shared<bool>(true);
    this->isAsking = false;
    this->isRenewing = false;
    this->waiting.clear();
    this->scheduler.cancel(std::exchange(this->retryTimer, 0));
}

void OpenConfirmation::query()
{
    this->isAsking = true;
    this->hooks.query([this, alive = this->alive, asked = this->queryTime(), number = ++this->question](Reply reply) {
        if (*alive && number == this->question) {
            this->take(reply, asked);
        }
    });
}

void OpenConfirmation::take(Reply reply, SteadyTime asked)
{
    this->isAsking = false;
    switch (reply) {
    case Reply::Open:
        this->isRenewing = false;
        this->recordOpen(asked);
        // A reply that was delayed may already be too old.
        this->callBack(this->validAge());
        return;
    case Reply::Closed:
        this->hooks.closed();
        return;
    case Reply::Unknown:
        this->retryTimer = this->scheduler.schedule(retryPause, [this] {
            this->retryTimer = 0;
            if (this->isRenewing || !this->waiting.empty()) {
                this->query();
            }
        });
        this->callBack(std::nullopt);
        return;
    }
}

void OpenConfirmation::callBack(std::optional<std::chrono::milliseconds> age)
{
    const std::shared_ptr<bool> alive = this->alive;
    for (const Callback &confirmed : std::exchange(this->waiting, {})) {
        if (*alive) {
            confirmed(age);
        }
    }
}

} // namespace Dogwoodkeel
