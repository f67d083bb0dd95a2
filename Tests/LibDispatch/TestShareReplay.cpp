#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::uint32_t replicaCount = 12;
constexpr std::uint32_t slots = 8;
constexpr std::size_t workspaceCount = 81;
constexpr double skew = 1.2;
/** A quota as a multiple of the workspace's mean load. */
constexpr double quotaFactor = 1.6;
constexpr std::chrono::milliseconds tokenTime{8};
constexpr std::uint32_t smallest = 8;
constexpr std::uint32_t meanCost = 40;
constexpr std::uint32_t largest = 160;
/** Real work as a multiple of the expected work, equally likely. */
constexpr std::array<double, 4> realFactors{0.5, 1, 1, 1.5};
constexpr std::chrono::milliseconds objective{250};
constexpr std::chrono::seconds timeout{5};
constexpr std::chrono::milliseconds step{1};
constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::chrono::milliseconds resubmitInterval{200};
/** The flood, after a time at the usual load. Only requests that arrive and are placed in it are counted. */
constexpr std::chrono::seconds floodStart{8};
constexpr std::chrono::seconds length{38};
/** Tokens per second that all replicas generate. */
constexpr double capacity = replicaCount * slots * 1000.0 / tokenTime.count();
constexpr std::size_t flooder = 5;

struct Scenario
{
    /** Load of the flooder as a multiple of its usual load; 1: no flood. */
    double flood = 1;
    /** Load of all workspaces without the flood, as a share of the capacity. */
    double usual = 1;
    /** Expected work of each request of the flood. */
    std::uint32_t floodCost = meanCost;
    bool hasShares = true;
    /** Whether the load comes in square bursts: 2.8 s of 6.6 s at 1.84 times the mean, the rest at 0.377 times. */
    bool isBursty = false;
};

/** The work that each workspace requested and got during the flood, in tokens, and its requests on time. */
struct Outcome
{
    std::vector<double> demand = std::vector<double>(workspaceCount);
    std::vector<double> served = std::vector<double>(workspaceCount);
    std::vector<double> weights = std::vector<double>(workspaceCount);
    double othersOnTime = 0;
    double floodOnTime = 0;
    int refused = 0;

    double throughput() const
    {
        double sum = 0;
        for (const double work : this->served) {
            sum += work;
        }
        return sum;
    }

    /** @return the served work of each workspace as a ratio to its weighted max-min share, limited by its demand. */
    std::vector<double> ratios() const
    {
        std::vector<std::size_t> order;
        double weight = 0;
        for (std::size_t workspace = 0; workspace < workspaceCount; ++workspace) {
            order.push_back(workspace);
            weight += this->weights[workspace];
        }
        std::ranges::sort(order, {}, [this](std::size_t workspace) {
            return this->demand[workspace] / this->weights[workspace];
        });
        double left = capacity * std::chrono::duration<double>(length - floodStart).count();
        std::vector<double> ratios;
        for (const std::size_t workspace : order) {
            const double share = std::min(this->demand[workspace], left * this->weights[workspace] / weight);
            left -= share;
            weight -= this->weights[workspace];
            if (share > 0) {
                ratios.push_back(this->served[workspace] / share);
            }
        }
        return ratios;
    }

    double jainIndex() const
    {
        double sum = 0;
        double squares = 0;
        const std::vector<double> ratios = this->ratios();
        for (const double ratio : ratios) {
            sum += ratio;
            squares += ratio * ratio;
        }
        return sum * sum / squares / static_cast<double>(ratios.size());
    }

    double worstToMean() const
    {
        double sum = 0;
        const std::vector<double> ratios = this->ratios();
        for (const double ratio : ratios) {
            sum += ratio;
        }
        return std::ranges::min(ratios) * static_cast<double>(ratios.size()) / sum;
    }
};

/** Replays callers of all workspaces that retry once after a refusal. */
class Replay
{
public:
    explicit Replay(const Scenario &scenario)
        : scenario(scenario)
        , dispatcher(this->clock,
                     {.place =
                          [this](TicketId id, const EndpointName &replica) {
                              this->handlePlaced(id.number, replica);
                          },
                      .stop = [](TicketId) {},
                      .refuse =
                          [this](TicketId id, std::chrono::milliseconds retryAfter) {
                              this->handleRefusal(id.number, retryAfter);
                          }},
                     {.hasWorkspaceShares = scenario.hasShares})
    {
        this->dispatcher.setReplicas(equalReplicas(replicaCount, slots));
        double sum = 0;
        for (std::size_t workspace = 0; workspace < workspaceCount; ++workspace) {
            this->shares.push_back(std::pow(static_cast<double>(workspace + 1), -skew));
            sum += this->shares.back();
        }
        for (std::size_t workspace = 0; workspace < workspaceCount; ++workspace) {
            this->shares[workspace] /= sum;
            this->outcome.weights[workspace] = this->shares[workspace] * quotaFactor * scenario.usual * capacity / meanCost;
        }
    }

    Outcome run()
    {
        for (std::chrono::milliseconds time{0}; time < length; time += step) {
            this->clock.advance(step);
            this->isCounted = time >= floodStart;
            this->endRuns();
            for (std::size_t workspace = 0; workspace < workspaceCount; ++workspace) {
                this->sendRequests(workspace);
            }
            this->retryDue();
            if (time % tickInterval == std::chrono::milliseconds(0)) {
                this->dispatcher.tick();
            }
            if (time % resubmitInterval == std::chrono::milliseconds(0)) {
                this->report();
                this->resubmit();
            }
        }
        this->outcome.othersOnTime = this->onTime[false] / this->callers[false];
        this->outcome.floodOnTime = this->onTime[true] / this->callers[true];
        return this->outcome;
    }

private:
    struct Caller
    {
        std::size_t workspace = 0;
        SteadyTime deadline{};
        bool isFirstAttempt = true;
        bool isCounted = false;
        double realCost = 0;
        PlacementRequest request;
    };

    double burstFactor() const
    {
        const auto inPeriod = (this->clock.now() - this->begin) % std::chrono::milliseconds(6600);
        const double factor = inPeriod >= std::chrono::milliseconds(3800) ? 1.84 : 0.377;
        return this->scenario.isBursty ? factor : 1;
    }

    void sendRequests(std::size_t workspace)
    {
        const bool isFlood = this->isCounted && workspace == flooder && this->scenario.flood > 1;
        const double cost = isFlood ? this->scenario.floodCost : meanCost;
        const double load
            = this->shares[workspace] * this->scenario.usual * (isFlood ? this->scenario.flood : 1) * this->burstFactor();
        // The random numbers of each workspace are its own, so that the others send the same with and without the flood.
        std::minstd_rand &random = this->random[workspace];
        const int count = std::poisson_distribution<int>(load * capacity / cost / 1000)(random);
        for (int number = 0; number < count; ++number) {
            std::uniform_int_distribution<std::uint32_t> costs(smallest, 2 * meanCost - smallest);
            const std::uint32_t expected = isFlood ? this->scenario.floodCost : costs(random);
            Caller caller{workspace, this->clock.now() + timeout, true, this->isCounted};
            caller.realCost = expected * realFactors.at(random() % realFactors.size());
            caller.request.cost = expected;
            caller.request.content = ++this->lastContent;
            this->outcome.demand[workspace] += this->isCounted ? caller.realCost : 0;
            this->callers[workspace == flooder] += this->isCounted ? 1 : 0;
            this->submit(caller);
        }
    }

    void submit(Caller caller)
    {
        PlacementRequest &request = caller.request;
        request.id = {SessionNumber(1), ++this->lastTicket};
        request.workspace = WorkspaceName("w" + std::to_string(caller.workspace));
        request.weight = this->outcome.weights[caller.workspace];
        request.arrived = this->clock.now();
        request.due = request.arrived + objective;
        request.deadline = caller.deadline;
        request.mayRefuse = true;
        this->waiting[request.id.number] = caller;
        this->dispatcher.submit(PlacementRequest(request));
    }

    void report()
    {
        std::vector<RunningPlacement> placements;
        for (const auto &[ticket, placement] : this->running) {
            placements.push_back(placement);
        }
        this->dispatcher.reconcile(SessionNumber(1), this->lastTicket, placements);
    }

    void resubmit()
    {
        std::erase_if(this->waiting, [this](const auto &waited) {
            return waited.second.deadline < this->clock.now();
        });
        const std::map<std::uint64_t, Caller> resubmitted = this->waiting;
        for (const auto &[ticket, caller] : resubmitted) {
            this->dispatcher.submit(caller.request);
        }
    }

    void handlePlaced(std::uint64_t ticket, const EndpointName &replica)
    {
        const auto found = this->waiting.find(ticket);
        if (found == this->waiting.end()) {
            // The placement is reported again, because the request was sent again.
            return;
        }
        const Caller &caller = found->second;
        if (caller.isCounted) {
            // Without what is left to do when the replay ends.
            const auto remaining = SteadyTime(length) - this->clock.now() + this->begin.time_since_epoch();
            this->outcome.served[caller.workspace]
                += std::min(caller.realCost, std::chrono::duration<double>(remaining) / tokenTime);
            const bool isOnTime = caller.isFirstAttempt && this->clock.now() <= caller.request.due;
            this->onTime[caller.workspace == flooder] += isOnTime ? 1 : 0;
        }
        this->ends.emplace(this->clock.now() + std::chrono::duration_cast<SteadyTime::duration>(caller.realCost * tokenTime),
                           ticket);
        this->running[ticket] = {ticket, replica, false};
        this->waiting.erase(found);
    }

    void handleRefusal(std::uint64_t ticket, std::chrono::milliseconds retryAfter)
    {
        const auto found = this->waiting.find(ticket);
        REQUIRE(found != this->waiting.end());
        Caller caller = found->second;
        this->waiting.erase(found);
        this->outcome.refused += caller.isCounted ? 1 : 0;
        if (std::exchange(caller.isFirstAttempt, false)) {
            const auto maxRetryAfter = (caller.deadline - this->clock.now()) / retryAfterDivisor;
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
            const std::uint64_t ticket = this->ends.begin()->second;
            this->ends.erase(this->ends.begin());
            this->running.erase(ticket);
            this->dispatcher.end({SessionNumber(1), ticket}, PlacementVerdict::Finished);
        }
    }

    Scenario scenario;
    ManualClock clock;
    SteadyTime begin = this->clock.now();
    std::vector<double> shares;
    std::map<std::size_t, std::minstd_rand> random = randomEngines();
    bool isCounted = false;
    std::uint64_t lastTicket = 0;
    std::uint64_t lastContent = 0;
    std::map<std::uint64_t, Caller> waiting;
    std::map<std::uint64_t, RunningPlacement> running;
    std::multimap<SteadyTime, Caller> retries;
    std::multimap<SteadyTime, std::uint64_t> ends;
    /** By whether they are the flooder's. */
    std::map<bool, double> callers;
    std::map<bool, double> onTime;
    Outcome outcome;
    Dispatcher dispatcher;

    static std::map<std::size_t, std::minstd_rand> randomEngines()
    {
        std::map<std::size_t, std::minstd_rand> engines;
        for (std::size_t workspace = 0; workspace < workspaceCount; ++workspace) {
            engines.emplace(workspace, std::minstd_rand(static_cast<unsigned>(1000 + 7919 * workspace)));
        }
        return engines;
    }
};

std::string describe(const Outcome &outcome)
{
    return "others on time " + std::to_string(outcome.othersOnTime) + ", flooder on time " + std::to_string(outcome.floodOnTime)
        + ", Jain " + std::to_string(outcome.jainIndex()) + ", worst/mean " + std::to_string(outcome.worstToMean())
        + ", served/capacity " + std::to_string(outcome.throughput() / capacity / 30) + ", refused "
        + std::to_string(outcome.refused);
}

/** @return the load of all workspaces without the flood, so that it is `total` with the flood. */
double usualLoad(double total, double flood)
{
    double sum = 0;
    for (std::size_t workspace = 0; workspace < workspaceCount; ++workspace) {
        sum += std::pow(static_cast<double>(workspace + 1), -skew);
    }
    return total / (1 + (flood - 1) * std::pow(static_cast<double>(flooder + 1), -skew) / sum);
}

void checkFlood(double flood, double total, std::uint32_t floodCost, const Outcome &calm)
{
    const double usual = usualLoad(total, flood);
    const Outcome arrivalOrder = Replay({flood, usual, floodCost, false}).run();
    const Outcome shares = Replay({flood, usual, floodCost, true}).run();
    MESSAGE("flood ", flood, ", requests of ", floodCost, ", total load ", total, ": no flood: ", describe(calm));
    MESSAGE("    first come, first served: ", describe(arrivalOrder));
    MESSAGE("    shares: ", describe(shares));
    CHECK(shares.othersOnTime > calm.othersOnTime - 0.02);
    CHECK(shares.jainIndex() >= 0.95);
    CHECK(shares.worstToMean() >= 0.5);
    CHECK(shares.throughput() >= 0.98 * arrivalOrder.throughput());
}

} // namespace

// A workspace sends 7.5 or 20 times its usual load, in the smallest or in the largest requests, while the total load is 1.0 to
// 1.8 of the capacity. By order of arrival, its requests take the slots of all others.
TEST_CASE("a flood of one workspace costs the others nothing, and no throughput")
{
    for (const double flood : {7.5, 20.0}) {
        for (const double total : {1.0, 1.4, 1.8}) {
            const Outcome calm = Replay({1, usualLoad(total, flood), meanCost, true}).run();
            checkFlood(flood, total, smallest, calm);
            checkFlood(flood, total, largest, calm);
        }
    }
}

// Bursts of all workspaces at 1.1 and 1.4 times the capacity. Guards against shares that make requests late where no workspace
// takes more than its share: a workspace's second request then waited for requests of others that had come later.
TEST_CASE("in bursts of all workspaces, shares make no more requests late than order of arrival")
{
    for (const double usual : {0.6, 0.75}) {
        const Outcome arrivalOrder = Replay({1, usual, meanCost, false, true}).run();
        const Outcome shares = Replay({1, usual, meanCost, true, true}).run();
        MESSAGE("bursts of ", usual * 1.84, ": first come, first served: ", describe(arrivalOrder));
        MESSAGE("    shares: ", describe(shares));
        CHECK(shares.othersOnTime > arrivalOrder.othersOnTime - 0.01);
        CHECK(shares.throughput() >= 0.98 * arrivalOrder.throughput());
    }
}
