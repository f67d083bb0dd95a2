#include <LibMembership/ReachabilityEstimator.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds probeInterval{100};
/** Also a node on a small and busy processor answers within this time. */
constexpr std::chrono::milliseconds answerTimeout{200};
constexpr std::size_t calmProbes = 4;
constexpr std::size_t fastProbes = 16;
/** The estimate stands on the probes of this time, and on so many at least. */
constexpr std::chrono::milliseconds judgedRetained{200};
constexpr std::size_t fewestJudged = 8;

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
    const bool isKnown = this->judged.size() >= fewestJudged;
    this->sendProbes(isKnown && pace == Pace::Normal ? calmProbes : fastProbes);
}

// An answer comes at once, silence shows only after its time: were answers counted at once, a node that has just lost many others
// would seem to be in contact with all.
void ReachabilityEstimator::expire()
{
    const SteadyTime due = this->clock.now() - answerTimeout;
    for (auto answer = this->answered.begin(); answer != this->answered.end();) {
        const bool isDue = *answer <= due;
        if (isDue) {
            this->judged.push_back({*answer, true});
        }
        answer = isDue ? this->answered.erase(answer) : std::next(answer);
    }
    for (auto probed = this->pending.begin(); probed != this->pending.end();) {
        const bool isDue = probed->second <= due;
        if (isDue) {
            this->judged.push_back({probed->second, false});
        }
        probed = isDue ? this->pending.erase(probed) : std::next(probed);
    }
    while (this->judged.size() > fewestJudged && this->judged.front().asked <= due - judgedRetained) {
        this->judged.pop_front();
    }
}

void ReachabilityEstimator::sendProbes(std::size_t count)
{
    std::vector<Address> chosen;
    std::ranges::sample(this->others,
                        std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(std::min(count, this->others.size())),
                        this->random);
    // Also those that have not answered yet: were they passed over, those that answer would be chosen more often.
    for (const Address &other : chosen) {
        this->pending.emplace(other, this->clock.now());
        this->probe(other);
    }
}

std::optional<double> ReachabilityEstimator::share() const
{
    if (this->others.empty()) {
        return 1;
    }
    if (this->judged.size() < fewestJudged) {
        return std::nullopt;
    }
    const auto count = static_cast<double>(std::ranges::count(this->judged, true, &Judged::isAnswered));
    const double reached = count / static_cast<double>(this->judged.size());
    const auto others = static_cast<double>(this->others.size());
    return (1 + reached * others) / (1 + others);
}

} // namespace Dogwoodkeel
