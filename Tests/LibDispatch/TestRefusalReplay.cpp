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
constexpr std::chrono::milliseconds askInterval{200};
constexpr std::chrono::seconds length{60};
/** What the replicas can serve in a second. */
constexpr double capacity = replicaCount * slots / 0.77;
/** What an answer is worth to a caller that gets it late, and to one that was told at once to come back and was on time then. */
constexpr double lateWorth = 0.15;
constexpr double returnedWorth = 0.575;

/** What became of the callers of one replay. */
struct Outcome
{
    int callers = 0;
    int onTime = 0;
    int returnedOnTime = 0;
    int late = 0;
    int sentAway = 0;
    /** Waited until their time was over. */
    int held = 0;

    double worth() const
    {
        return (this->onTime + returnedWorth * this->returnedOnTime + lateWorth * this->late) / this->callers;
    }
};

/** Whether the dispatcher may send requests away. */
enum class Refusing {
    Yes,
    No,
};

/** Online requests a second at a time, as a share of what can be served. */
using Load = std::function<double(std::chrono::milliseconds)>;

/** Callers that come back once when they are told to. */
class Replay
{
public:
    Replay(Load load, Refusing refusing, std::size_t replicasAtBurst = replicaCount)
        : load(std::move(load))
        , refusing(refusing)
        , replicasAtBurst(replicasAtBurst)
        , dispatcher(this->clock,
                     {.place =
                          [this](TicketId id, const EndpointName &) {
                              this->takePlace(id.number);
                          },
                      .stop = [](TicketId) {},
                      .refuse =
                          [this](TicketId id, std::chrono::milliseconds retryAfter) {
                              this->takeRefusal(id.number, retryAfter);
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
                this->ask({++this->lastContent, this->clock.now(), true, {}});
            }
            this->comeAgain();
            if (time % tickInterval == std::chrono::milliseconds(0)) {
                this->dispatcher.tick();
            }
            if (time % askInterval == std::chrono::milliseconds(0)) {
                this->askAgain();
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
        const bool isFew = time >= length / 2 && time < length / 2 + std::chrono::seconds(5);
        const std::size_t count = isFew ? this->replicasAtBurst : replicaCount;
        if (std::exchange(this->present, count) == count) {
            return;
        }
        this->dispatcher.setReplicas(equalReplicas(count, slots));
    }

    void ask(Caller caller)
    {
        const SteadyTime now = this->clock.now();
        PlacementRequest &request = caller.request;
        request.id = {SessionNumber(1), ++this->lastTicket};
        request.arrived = now;
        request.due = now + objective;
        request.deadline = caller.first + timeout;
        request.content = caller.content;
        request.mayRefuse = this->refusing == Refusing::Yes;
        this->waiting[request.id.number] = caller;
        this->dispatcher.submit(PlacementRequest(request));
    }

    void askAgain()
    {
        std::vector<PlacementRequest> asked;
        for (auto waits = this->waiting.begin(); waits != this->waiting.end();) {
            const bool isOver = waits->second.request.deadline < this->clock.now();
            this->outcome.held += isOver ? 1 : 0;
            if (!isOver) {
                asked.push_back(waits->second.request);
            }
            waits = isOver ? this->waiting.erase(waits) : std::next(waits);
        }
        for (const PlacementRequest &request : asked) {
            this->dispatcher.submit(request);
        }
    }

    void takePlace(std::uint64_t ticket)
    {
        const auto found = this->waiting.find(ticket);
        if (found == this->waiting.end()) {
            return;
        }
        const Caller &caller = found->second;
        const bool isOnTime = this->clock.now() <= caller.request.due;
        const bool wasEarly = caller.isFirstTry || this->wasSentAwayEarly[caller.content];
        this->outcome.onTime += isOnTime && caller.isFirstTry ? 1 : 0;
        this->outcome.returnedOnTime += isOnTime && !caller.isFirstTry && wasEarly ? 1 : 0;
        this->outcome.late += !isOnTime || !wasEarly ? 1 : 0;
        this->ends.emplace(this->clock.now() + streamTime, ticket);
        this->waiting.erase(found);
    }

    void takeRefusal(std::uint64_t ticket, std::chrono::milliseconds retryAfter)
    {
        const auto found = this->waiting.find(ticket);
        REQUIRE(found != this->waiting.end());
        Caller caller = found->second;
        this->waiting.erase(found);
        this->outcome.sentAway += 1;
        if (caller.isFirstTry) {
            this->wasSentAwayEarly[caller.content] = (this->clock.now() - caller.first) * 4 <= objective;
            caller.isFirstTry = false;
            const auto most = (caller.request.deadline - this->clock.now()) / 3;
            this->returns.emplace(this->clock.now() + std::min<std::chrono::nanoseconds>(retryAfter, most), caller);
        }
    }

    void comeAgain()
    {
        while (!this->returns.empty() && this->returns.begin()->first <= this->clock.now()) {
            const Caller caller = this->returns.begin()->second;
            this->returns.erase(this->returns.begin());
            this->ask(caller);
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
    Refusing refusing;
    std::size_t replicasAtBurst;
    std::size_t present = 0;
    ManualClock clock;
    std::minstd_rand random{7};
    std::uint64_t lastTicket = 0;
    std::uint64_t lastContent = 0;
    std::map<std::uint64_t, Caller> waiting;
    std::multimap<SteadyTime, Caller> returns;
    std::multimap<SteadyTime, std::uint64_t> ends;
    std::map<std::uint64_t, bool> wasSentAwayEarly;
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

std::string tell(const Outcome &outcome)
{
    return "worth " + std::to_string(outcome.worth()) + ", on time " + std::to_string(outcome.onTime) + ", returned "
        + std::to_string(outcome.returnedOnTime) + ", late " + std::to_string(outcome.late) + ", sent away "
        + std::to_string(outcome.sentAway) + ", held " + std::to_string(outcome.held) + " of " + std::to_string(outcome.callers);
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
        const Outcome queueing = Replay(bursts(share), Refusing::No).run();
        const Outcome refusing = Replay(bursts(share), Refusing::Yes).run();
        MESSAGE("burst of ", share, ": queueing ", tell(queueing), "; refusing ", tell(refusing));
        CHECK(refusing.worth() > queueing.worth() - 0.001);
        CHECK(refusing.onTime > 0.99 * queueing.onTime);
        CHECK(refusing.late < 0.95 * queueing.late);
        CHECK(refusing.onTime + refusing.returnedOnTime > 0.97 * servable(share, refusing.callers));
        CHECK(refusing.held == 0);
    }
}

// A load that stays above what the replicas can serve. Nobody can be promised a place, as there will be none; who waits to the
// end without one is told so while its caller can still do something else, and those who are served are as many as before.
TEST_CASE("under a load that stays, nobody is held to the end, and no less is served")
{
    for (const double share : {1.02, 1.07, 1.2, 1.5}) {
        const Outcome queueing = Replay(steady(share), Refusing::No).run();
        const Outcome refusing = Replay(steady(share), Refusing::Yes).run();
        MESSAGE("steady ", share, ": queueing ", tell(queueing), "; refusing ", tell(refusing));
        CHECK(queueing.held > 100);
        CHECK(refusing.held <= 1);
        CHECK(refusing.onTime >= queueing.onTime);
        CHECK(refusing.onTime + refusing.late >= queueing.onTime + queueing.late);
        CHECK(refusing.returnedOnTime == 0);
    }
}

TEST_CASE("nobody is sent away while there is room")
{
    CHECK(Replay(steady(0.9), Refusing::Yes).run().sentAway == 0);
}

// More than half of the replicas go for 5 s. What is served meanwhile must not suffer from refusals.
TEST_CASE("while half of the replicas are gone, refusals cost nobody an answer")
{
    const Outcome queueing = Replay(steady(0.6), Refusing::No, 4).run();
    const Outcome refusing = Replay(steady(0.6), Refusing::Yes, 4).run();
    MESSAGE("half gone: queueing ", tell(queueing), "; refusing ", tell(refusing));
    CHECK(refusing.onTime >= queueing.onTime);
    CHECK(refusing.worth() > queueing.worth() - 0.005);
    CHECK(refusing.held == 0);
}
