#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::uint32_t replicaCount = 9;
constexpr std::uint32_t slots = 8;
constexpr std::chrono::milliseconds streamTime{770};
constexpr std::chrono::milliseconds objective{250};
constexpr std::chrono::seconds timeout{5};
constexpr std::chrono::milliseconds timeStep{1};
constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::chrono::milliseconds resubmitInterval{200};
constexpr std::chrono::seconds length{60};
/** What the replicas can serve in a second. */
constexpr double capacity = replicaCount * slots / 0.77;
/** What an answer is worth to a caller that gets it late, and to one that was told at once to come back and was on time then. */
constexpr double lateValue = 0.15;
constexpr double retriedOnTimeValue = 0.575;

/** What became of the callers of one replay. */
struct Outcome
{
    int callers = 0;
    int onTime = 0;
    int retriedOnTime = 0;
    int late = 0;
    int refused = 0;
    /** Waited until their time was over. */
    int timedOut = 0;

    double value() const
    {
        return (this->onTime + retriedOnTimeValue * this->retriedOnTime + lateValue * this->late) / this->callers;
    }
};

/** Whether the dispatcher may send requests away. */
enum class Refusal {
    Yes,
    No,
};

/** Online requests a second at a time, as a share of what can be served. */
using Load = std::function<double(std::chrono::milliseconds)>;

/** Callers that come back once when they are told to. */
class Replay
{
public:
    Replay(Load load, Refusal refusal, std::size_t reducedReplicas = replicaCount)
        : load(std::move(load))
        , refusal(refusal)
        , reducedReplicas(reducedReplicas)
        , dispatcher(this->clock,
                     {.place =
                          [this](TicketId id, const EndpointName &) {
                              this->handlePlaced(id.number);
                          },
                      .stop = [](TicketId) {},
                      .refuse =
                          [this](TicketId id, std::chrono::milliseconds retryAfter) {
                              this->handleRefusal(id.number, retryAfter);
                          }})
    {
    }

    Outcome run()
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (std::chrono::milliseconds time{0}; time < length; time += timeStep) {
            this->clock.advance(timeStep);
            this->setReplicas(time);
            this->endRuns();
            if (chance(this->random) < this->load(time) * capacity / 1000) {
                ++this->outcome.callers;
                this->submit({++this->lastContent, this->clock.now(), true, {}});
            }
            this->retryDue();
            if (time % tickInterval == std::chrono::milliseconds(0)) {
                this->dispatcher.tick();
            }
            if (time % resubmitInterval == std::chrono::milliseconds(0)) {
                this->resubmit();
            }
        }
        return this->outcome;
    }

private:
    struct Caller
    {
        std::uint64_t content = 0;
        SteadyTime first{};
        bool isFirstTry = true;
        PlacementRequest request;
    };

    void setReplicas(std::chrono::milliseconds time)
    {
        const bool isReduced = time >= length / 2 && time < length / 2 + std::chrono::seconds(5);
        const std::size_t count = isReduced ? this->reducedReplicas : replicaCount;
        if (std::exchange(this->currentReplicas, count) == count) {
            return;
        }
        this->dispatcher.setReplicas(equalReplicas(count, slots));
    }

    void submit(Caller caller)
    {
        const SteadyTime now = this->clock.now();
        PlacementRequest &request = caller.request;
        request.id = {SessionNumber(1), ++this->lastTicket};
        request.arrived = now;
        request.due = now + objective;
        request.deadline = caller.first + timeout;
        request.content = caller.content;
        request.mayRefuse = this->refusal == Refusal::Yes;
        this->waiting[request.id.number] = caller;
        this->dispatcher.submit(PlacementRequest(request));
    }

    void resubmit()
    {
        std::vector<PlacementRequest> resubmitted;
        for (auto waited = this->waiting.begin(); waited != this->waiting.end();) {
            const bool isOver = waited->second.request.deadline < this->clock.now();
            this->outcome.timedOut += isOver ? 1 : 0;
            if (!isOver) {
                resubmitted.push_back(waited->second.request);
            }
            waited = isOver ? this->waiting.erase(waited) : std::next(waited);
        }
        for (const PlacementRequest &request : resubmitted) {
            this->dispatcher.submit(request);
        }
    }

    void handlePlaced(std::uint64_t ticket)
    {
        const auto found = this->waiting.find(ticket);
        if (found == this->waiting.end()) {
            return;
        }
        const Caller &caller = found->second;
        const bool isOnTime = this->clock.now() <= caller.request.due;
        const bool mayCountOnTime = caller.isFirstTry || this->wasRefusedEarly[caller.content];
        this->outcome.onTime += isOnTime && caller.isFirstTry ? 1 : 0;
        this->outcome.retriedOnTime += isOnTime && !caller.isFirstTry && mayCountOnTime ? 1 : 0;
        this->outcome.late += !isOnTime || !mayCountOnTime ? 1 : 0;
        this->ends.emplace(this->clock.now() + streamTime, ticket);
        this->waiting.erase(found);
    }

    void handleRefusal(std::uint64_t ticket, std::chrono::milliseconds retryAfter)
    {
        const auto found = this->waiting.find(ticket);
        REQUIRE(found != this->waiting.end());
        Caller caller = found->second;
        this->waiting.erase(found);
        this->outcome.refused += 1;
        if (caller.isFirstTry) {
            this->wasRefusedEarly[caller.content] = (this->clock.now() - caller.first) * 4 <= objective;
            caller.isFirstTry = false;
            const auto maxRetryAfter = (caller.request.deadline - this->clock.now()) / 3;
            this->retries.emplace(this->clock.now() + std::min<std::chrono::nanoseconds>(retryAfter, maxRetryAfter), caller);
        }
    }

    void retryDue()
    {
        while (!this->retries.empty() && this->retries.begin()->first <= this->clock.now()) {
            const Caller caller = this->retries.begin()->second;
            this->retries.erase(this->retries.begin());
            this->submit(caller);
        }
    }

    void endRuns()
    {
        while (!this->ends.empty() && this->ends.begin()->first <= this->clock.now()) {
            this->dispatcher.end({SessionNumber(1), this->ends.begin()->second}, PlacementVerdict::Finished);
            this->ends.erase(this->ends.begin());
        }
    }

    Load load;
    Refusal refusal;
    std::size_t reducedReplicas;
    std::size_t currentReplicas = 0;
    ManualClock clock;
    std::minstd_rand random{7};
    std::uint64_t lastTicket = 0;
    std::uint64_t lastContent = 0;
    std::map<std::uint64_t, Caller> waiting;
    std::multimap<SteadyTime, Caller> retries;
    std::multimap<SteadyTime, std::uint64_t> ends;
    std::map<std::uint64_t, bool> wasRefusedEarly;
    Outcome outcome;
    Dispatcher dispatcher;
};

/** Bursts at a share of what can be served, and 0.35 of it between them. */
constexpr std::chrono::milliseconds period{6600};
constexpr std::chrono::milliseconds burstStart{3800};

Load bursts(double share)
{
    return [share](std::chrono::milliseconds time) {
        return time % period >= burstStart ? share : 0.35;
    };
}

Load steady(double share)
{
    return [share](std::chrono::milliseconds) {
        return share;
    };
}

std::string describe(const Outcome &outcome)
{
    return "worth " + std::to_string(outcome.value()) + ", on time " + std::to_string(outcome.onTime) + ", returned "
        + std::to_string(outcome.retriedOnTime) + ", late " + std::to_string(outcome.late) + ", sent away "
        + std::to_string(outcome.refused) + ", held " + std::to_string(outcome.timedOut) + " of "
        + std::to_string(outcome.callers);
}

} // namespace

/** @return how many callers can be on time at most in bursts of a share of what can be served: the queue's length helps once a
 * burst. */
double servable(double share, int callers)
{
    const double burstCount = static_cast<double>(length / period);
    const double excess = (share - 1) * capacity * std::chrono::duration<double>(period - burstStart).count();
    const double queued = capacity * std::chrono::duration<double>(objective).count();
    return callers - burstCount * std::max(0.0, excess - queued);
}

// Bursts of 2.8 s at 1.1 to 1.5 times what the replicas can serve, with calm between them. Without refusals, who comes to a
// full queue waits and is late, though there will be room in a second; told to come back then, it is served at once. Were it told
// to come back into the same burst, it would take the place of another that can still be on time.
TEST_CASE("in a burst, who can't be on time is told at once to come back to a place")
{
    for (const double share : {1.1, 1.2, 1.3, 1.5}) {
        const Outcome queueing = Replay(bursts(share), Refusal::No).run();
        const Outcome refusal = Replay(bursts(share), Refusal::Yes).run();
        MESSAGE("burst of ", share, ": queueing ", describe(queueing), "; refusing ", describe(refusal));
        CHECK(refusal.value() > queueing.value() - 0.001);
        CHECK(refusal.onTime > 0.99 * queueing.onTime);
        CHECK(refusal.late < 0.95 * queueing.late);
        CHECK(refusal.onTime + refusal.retriedOnTime > 0.97 * servable(share, refusal.callers));
        CHECK(refusal.timedOut == 0);
    }
}

// A load that stays above what the replicas can serve. Nobody can be promised a place, as there will be none; who waits to the
// end without one is told so while its caller can still do something else, and those who are served are as many as before.
TEST_CASE("under a load that stays, nobody is held to the end, and no less is served")
{
    for (const double share : {1.02, 1.07, 1.2, 1.5}) {
        const Outcome queueing = Replay(steady(share), Refusal::No).run();
        const Outcome refusal = Replay(steady(share), Refusal::Yes).run();
        MESSAGE("steady ", share, ": queueing ", describe(queueing), "; refusing ", describe(refusal));
        CHECK(queueing.timedOut > 100);
        CHECK(refusal.timedOut <= 1);
        CHECK(refusal.onTime >= queueing.onTime);
        CHECK(refusal.onTime + refusal.late >= queueing.onTime + queueing.late);
        CHECK(refusal.retriedOnTime == 0);
    }
}

TEST_CASE("nobody is sent away while there is room")
{
    CHECK(Replay(steady(0.9), Refusal::Yes).run().refused == 0);
}

// More than half of the replicas go for 5 s. What is served meanwhile must not suffer from refusals.
TEST_CASE("while half of the replicas are gone, refusals cost nobody an answer")
{
    const Outcome queueing = Replay(steady(0.6), Refusal::No, 4).run();
    const Outcome refusal = Replay(steady(0.6), Refusal::Yes, 4).run();
    MESSAGE("half gone: queueing ", describe(queueing), "; refusing ", describe(refusal));
    CHECK(refusal.onTime >= queueing.onTime);
    CHECK(refusal.value() > queueing.value() - 0.005);
    CHECK(refusal.timedOut == 0);
}
