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
constexpr std::chrono::milliseconds step{1};
constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::chrono::milliseconds resubmitInterval{200};
constexpr std::chrono::seconds length{60};
/** Requests per second that the replicas can serve. */
constexpr double capacity = replicaCount * slots / 0.77;
/**
 * Value of an answer that comes late, and of one that is on time after a prompt refusal and a retry; one on time at the
 * first attempt counts 1.
 */
constexpr double lateValue = 0.15;
constexpr double retriedOnTimeValue = 0.575;

/** How the callers of one replay were served. */
struct Outcome
{
    int callers = 0;
    int onTime = 0;
    int retriedOnTime = 0;
    int late = 0;
    int refused = 0;
    /** Waited until their timeout without an answer. */
    int timedOut = 0;

    double value() const
    {
        return (this->onTime + retriedOnTimeValue * this->retriedOnTime + lateValue * this->late) / this->callers;
    }
};

/** Whether the dispatcher may refuse requests. */
enum class Refusal {
    Yes,
    No,
};

/** Online load at a time, as a share of the capacity. */
using Load = std::function<double(std::chrono::milliseconds)>;

/** Replays callers that retry once after a refusal. */
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
        for (std::chrono::milliseconds time{0}; time < length; time += step) {
            this->clock.advance(step);
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
        bool isFirstAttempt = true;
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
        const bool mayCountOnTime = caller.isFirstAttempt || this->wasRefusedEarly[caller.content];
        this->outcome.onTime += isOnTime && caller.isFirstAttempt ? 1 : 0;
        this->outcome.retriedOnTime += isOnTime && !caller.isFirstAttempt && mayCountOnTime ? 1 : 0;
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
        if (caller.isFirstAttempt) {
            this->wasRefusedEarly[caller.content] = (this->clock.now() - caller.first) * 4 <= objective;
            caller.isFirstAttempt = false;
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

/** Bursts at a share of the capacity, with a load of 0.35 between them. */
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
    return "value " + std::to_string(outcome.value()) + ", on time " + std::to_string(outcome.onTime) + ", retried on time "
        + std::to_string(outcome.retriedOnTime) + ", late " + std::to_string(outcome.late) + ", refused "
        + std::to_string(outcome.refused) + ", timed out " + std::to_string(outcome.timedOut) + " of "
        + std::to_string(outcome.callers);
}

} // namespace

/**
 * @return the maximum number of callers that can be on time in bursts at a share of the capacity; the queue can absorb
 * some requests once per burst.
 */
double servable(double share, int callers)
{
    const double burstCount = static_cast<double>(length / period);
    const double excess = (share - 1) * capacity * std::chrono::duration<double>(period - burstStart).count();
    const double queued = capacity * std::chrono::duration<double>(objective).count();
    return callers - burstCount * std::max(0.0, excess - queued);
}

// Bursts of 2.8 s at 1.1 to 1.5 times the capacity, with calm between them. Without refusals a caller that finds a full
// queue waits and is late, though capacity is free a second later; refused with a delay, it is served at once on its
// retry. A retry into the same burst would take the slot of a request that can still be on time.
TEST_CASE("in a burst, a request that can't be on time is refused at once with a retry time")
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

// A sustained load above the capacity. No retry can get reserved capacity. A request that would wait until its timeout
// is refused while its caller has time left for something else, and as many requests are served as without refusals.
TEST_CASE("under sustained overload, no request waits until its timeout, and no less is served")
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

TEST_CASE("no request is refused while there is capacity")
{
    CHECK(Replay(steady(0.9), Refusal::Yes).run().refused == 0);
}

// More than half of the replicas are missing for 5 s. Refusals must not reduce what is served meanwhile.
TEST_CASE("while half of the replicas are missing, refusals cost no answers")
{
    const Outcome queueing = Replay(steady(0.6), Refusal::No, 4).run();
    const Outcome refusal = Replay(steady(0.6), Refusal::Yes, 4).run();
    MESSAGE("half missing: queueing ", describe(queueing), "; refusing ", describe(refusal));
    CHECK(refusal.onTime >= queueing.onTime);
    CHECK(refusal.value() > queueing.value() - 0.005);
    CHECK(refusal.timedOut == 0);
}
