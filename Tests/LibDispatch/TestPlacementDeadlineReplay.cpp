#include <LibBase/ManualClock.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/FirstEventEstimate.h>
#include <Tests/LibDispatch/EqualReplicas.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t replicaCount = 16;
constexpr std::uint32_t slots = 7;
constexpr std::chrono::milliseconds streamTime{780};
constexpr std::chrono::milliseconds objective{300};
/**
 * One-way delays: from the caller's first byte to the arrival of its request, of the dispatcher's answer, and of the
 * first event.
 */
constexpr std::chrono::milliseconds requestDelay{3};
constexpr std::chrono::milliseconds placementDelay{2};
constexpr std::chrono::milliseconds responseDelay{1};
constexpr double meanFirst = 85;
constexpr double spreadFirst = 8;
constexpr std::chrono::milliseconds step{1};
constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::chrono::milliseconds resubmitInterval{200};
constexpr std::chrono::milliseconds period{6600};
constexpr std::chrono::milliseconds burstStart{3800};
constexpr std::chrono::seconds length{33};
/** Load of a burst, as a share of the capacity. */
constexpr double burstLoad = 1.35;
/** Requests per second that the slots can serve. */
constexpr double capacity = replicaCount * slots / 0.78;

struct Outcome
{
    std::size_t requests = 0;
    std::size_t onTime = 0;
};

/** Replays bursts above the capacity on replicas whose time to the first event varies. */
class PlacementDeadlineReplay
{
public:
    explicit PlacementDeadlineReplay(double burst)
        : burst(burst)
        , dispatcher(this->clock,
                     {.place =
                          [this](TicketId id, const EndpointName &) {
                              this->begin(id.number);
                          },
                      .stop = [](TicketId) {},
                      .refuse = [](TicketId, std::chrono::milliseconds) {}})
    {
        this->dispatcher.setReplicas(equalReplicas(replicaCount, slots));
    }

    Outcome run()
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (std::chrono::milliseconds time{0}; time < length; time += step) {
            this->clock.advance(step);
            this->endRuns();
            const double load = time % period >= burstStart ? this->burst : 0.4;
            if (chance(this->random) < load * capacity / 1000) {
                this->submit();
            }
            if (time % tickInterval == 0ms) {
                this->dispatcher.tick();
            }
            if (time % resubmitInterval == 0ms) {
                this->resubmit();
            }
        }
        return this->outcome;
    }

private:
    void submit()
    {
        PlacementRequest request;
        request.id = {SessionNumber(1), ++this->lastTicket};
        request.arrived = this->clock.now();
        request.due = this->estimate.placementDeadline(request.arrived, objective);
        request.deadline = request.arrived + 5s;
        ++this->outcome.requests;
        this->waiting[this->lastTicket] = request;
        this->dispatcher.submit(request);
    }

    void resubmit()
    {
        const std::map<std::uint64_t, PlacementRequest> again = this->waiting;
        for (const auto &[number, request] : again) {
            this->dispatcher.submit(request);
        }
    }

    void begin(std::uint64_t number)
    {
        const auto waited = this->waiting.extract(number);
        if (waited.empty()) {
            return;
        }
        std::normal_distribution<double> first(meanFirst, spreadFirst);
        const std::chrono::milliseconds took(static_cast<int>(std::max(first(this->random), 62.0)));
        this->estimate.record(took);
        const auto seen = requestDelay + (this->clock.now() - waited.mapped().arrived) + placementDelay + took + responseDelay;
        this->outcome.onTime += seen <= objective ? 1 : 0;
        this->ends.emplace(this->clock.now() + streamTime, number);
    }

    void endRuns()
    {
        while (!this->ends.empty() && this->ends.begin()->first <= this->clock.now()) {
            const std::uint64_t number = this->ends.begin()->second;
            this->ends.erase(this->ends.begin());
            this->dispatcher.end({SessionNumber(1), number}, PlacementVerdict::Finished);
        }
    }

    double burst;
    ManualClock clock;
    std::minstd_rand random{7};
    FirstEventEstimate estimate;
    Outcome outcome;
    std::uint64_t lastTicket = 0;
    std::map<std::uint64_t, PlacementRequest> waiting;
    std::multimap<SteadyTime, std::uint64_t> ends;
    Dispatcher dispatcher;
};

} // namespace

// A burst exceeds the capacity by a third, and the queue grows until the requests at its head can just be on time. All
// requests placed then are placed at their placement deadline: if that is slightly too late, most of them are late, and
// use slots that could have served others on time.
TEST_CASE("a request placed at its placement deadline in a burst is on time at its caller")
{
    const Outcome calm = PlacementDeadlineReplay(0.9).run();
    CHECK(calm.onTime > 0.995 * static_cast<double>(calm.requests));
    const Outcome burst = PlacementDeadlineReplay(burstLoad).run();
    // Only the requests above the capacity should be late, less those that wait in the queue at the end of each burst.
    const double excess = (burstLoad - 1) * capacity * std::chrono::duration<double>(period - burstStart).count();
    const double queued = capacity * std::chrono::duration<double>(objective).count() / 2;
    const double servable = static_cast<double>(burst.requests) - (length / period) * (excess - queued);
    MESSAGE("on time " << burst.onTime << " of " << burst.requests << ", at most about " << servable);
    CHECK(static_cast<double>(burst.onTime) > 0.99 * servable);
}
