#include <LibGateway/PlannedStop.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** Callers cache an address for its time to live, some of them for three times as long. */
constexpr int addressLifetimes = 3;
/** The part of the grace period that is reserved for the exit of the process. */
constexpr std::chrono::milliseconds exitMargin{700};
/** The time in which the last answers are sent. */
constexpr std::chrono::milliseconds lastAnswersTime{300};

PlannedStop::Phase nextOf(PlannedStop::Phase phase)
{
    return static_cast<PlannedStop::Phase>(static_cast<int>(phase) + 1);
}

} // namespace

PlannedStop::PlannedStop(const Clock &clock, std::chrono::milliseconds grace, std::chrono::milliseconds addressTtl)
    : clock(clock), grace(grace), addressTtl(addressTtl)
{
}

void PlannedStop::begin()
{
    this->started = this->clock.now();
    this->update();
}

SteadyTime PlannedStop::startOf(Phase phase) const
{
    const std::chrono::milliseconds serviceTime = std::max(this->grace - exitMargin, std::chrono::milliseconds(0));
    switch (phase) {
    case Phase::Serving:
    case Phase::Withdrawn:
        return *this->started;
    case Phase::Finishing:
        return *this->started + std::min(this->addressTtl * addressLifetimes, serviceTime / 2);
    case Phase::LastAnswers:
        return *this->started + std::max(serviceTime - lastAnswersTime, serviceTime / 2);
    case Phase::Over:
        break;
    }
    return *this->started + serviceTime;
}

void PlannedStop::update()
{
    while (this->entered < this->phase()) {
        this->entered = nextOf(this->entered);
        this->notify(this->entered);
    }
}

void PlannedStop::notify(Phase phase)
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, onEntered] : this->observers) {
        tickets.push_back(ticket);
    }
    for (const Ticket ticket : tickets) {
        // An observer may remove itself and others.
        if (const auto found = this->observers.find(ticket); found != this->observers.end()) {
            const PhaseHandler onEntered = found->second;
            onEntered(phase);
        }
    }
}

PlannedStop::Phase PlannedStop::phase() const
{
    if (!this->started) {
        return Phase::Serving;
    }
    Phase reached = Phase::Withdrawn;
    while (reached != Phase::Over && this->clock.now() >= this->startOf(nextOf(reached))) {
        reached = nextOf(reached);
    }
    return reached;
}

bool PlannedStop::mayServe(SteadyTime deadline) const
{
    switch (this->phase()) {
    case Phase::Serving:
    case Phase::Withdrawn:
        return true;
    case Phase::Finishing:
        return deadline < this->startOf(Phase::LastAnswers);
    case Phase::LastAnswers:
    case Phase::Over:
        break;
    }
    return false;
}

PlannedStop::Ticket PlannedStop::observe(PhaseHandler onEntered)
{
    this->observers.emplace(++this->lastTicket, std::move(onEntered));
    return this->lastTicket;
}

void PlannedStop::remove(Ticket ticket)
{
    this->observers.erase(ticket);
}

} // namespace Dogwoodkeel
