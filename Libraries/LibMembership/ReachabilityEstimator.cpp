#include <LibMembership/ReachabilityEstimator.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds probeInterval{100};
/** Even a node on a small and busy processor answers within this time. */
constexpr std::chrono::milliseconds answerTimeout{200};
constexpr std::size_t normalProbes = 4;
constexpr std::size_t fastProbes = 16;
/** The estimate uses the probes completed within this time, and at least minCompletedProbes. */
constexpr std::chrono::milliseconds completedRetention{200};
constexpr std::size_t minCompletedProbes = 8;

} // namespace

ReachabilityEstimator::ReachabilityEstimator(const Clock &clock, std::uint64_t seed, std::function<void(const Address &)> probe)
    : clock(clock), random(static_cast<std::minstd_rand::result_type>(seed)), probe(std::move(probe))
{
}

void ReachabilityEstimator::setOthers(std::vector<Address> others)
{
    this->others = std::move(others);
}

void ReachabilityEstimator::receive(const Address &from)
{
    const auto [first, last] = this->pending.equal_range(from);
    for (auto probed = first; probed != last; ++probed) {
        this->answered.push_back(probed->second);
    }
    this->pending.erase(first, last);
}

void ReachabilityEstimator::tick(Pace pace)
{
    this->expire();
    const SteadyTime now = this->clock.now();
    if (now < this->nextProbes) {
        return;
    }
    this->nextProbes = now + probeInterval;
    const bool isKnown = this->completed.size() >= minCompletedProbes;
    this->sendProbes(isKnown && pace == Pace::Normal ? normalProbes : fastProbes);
}

// Answers arrive at once, but a missing answer shows only after the timeout. If answers counted immediately, a node that has just
// lost many others would still appear to reach all of them.
void ReachabilityEstimator::expire()
{
    const SteadyTime due = this->clock.now() - answerTimeout;
    for (auto answer = this->answered.begin(); answer != this->answered.end();) {
        const bool isDue = *answer <= due;
        if (isDue) {
            this->completed.push_back({*answer, true});
        }
        answer = isDue ? this->answered.erase(answer) : std::next(answer);
    }
    for (auto probed = this->pending.begin(); probed != this->pending.end();) {
        const bool isDue = probed->second <= due;
        if (isDue) {
            this->completed.push_back({probed->second, false});
        }
        probed = isDue ? this->pending.erase(probed) : std::next(probed);
    }
    while (this->completed.size() > minCompletedProbes && this->completed.front().sentAt <= due - completedRetention) {
        this->completed.pop_front();
    }
}

void ReachabilityEstimator::sendProbes(std::size_t count)
{
    std::vector<Address> selected;
    std::ranges::sample(this->others,
                        std::back_inserter(selected),
                        static_cast<std::ptrdiff_t>(std::min(count, this->others.size())),
                        this->random);
    // Includes nodes with a pending probe: skipping them would select responsive nodes more often and bias the estimate.
    for (const Address &other : selected) {
        this->pending.emplace(other, this->clock.now());
        this->probe(other);
    }
}

std::optional<double> ReachabilityEstimator::share() const
{
    if (this->others.empty()) {
        return 1;
    }
    if (this->completed.size() < minCompletedProbes) {
        return std::nullopt;
    }
    const auto count = static_cast<double>(std::ranges::count(this->completed, true, &CompletedProbe::isAnswered));
    const double reached = count / static_cast<double>(this->completed.size());
    const auto others = static_cast<double>(this->others.size());
    return (1 + reached * others) / (1 + others);
}

} // namespace Dogwoodkeel
