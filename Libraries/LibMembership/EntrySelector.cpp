#include <LibMembership/EntrySelector.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint32_t overloaded = 100;
constexpr double leastShare = 0.2;
/** With fewer good nodes than this, worse ones fill up: one address alone leaves a caller without a second try. */
constexpr std::size_t fewest = 2;

/** How fit a node is to be named; the first that has nodes is used. */
enum class Fitness : std::uint8_t {
    Good,
    Overloaded,
    Doubtful,
    LastResort,
};

/** A node and how high it stands for one caller. */
struct Candidate
{
    const Member *member = nullptr;
    Fitness fitness = Fitness::Good;
    bool isNear = false;
    double score = 0;
};

Fitness fitnessOf(const Member &member)
{
    if (member.state == MemberState::Leaving || !member.isReady) {
        return Fitness::LastResort;
    }
    if (member.state != MemberState::Alive) {
        return Fitness::Doubtful;
    }
    return member.pressure >= overloaded ? Fitness::Overloaded : Fitness::Good;
}

/** A number above 0 and up to 1 from a hash. */
double shareOf(std::uint64_t hash)
{
    constexpr int kept = 53;
    return (static_cast<double>(hash >> (64 - kept)) + 1) / static_cast<double>(std::uint64_t(1) << kept);
}

std::size_t countOf(const std::vector<Candidate> &candidates, Fitness worst)
{
    return static_cast<std::size_t>(std::ranges::count_if(candidates, [worst](const Candidate &candidate) {
        return candidate.fitness <= worst;
    }));
}

/** Leaves the good ones, and of the worse only what is needed to have a few. */
void keepFit(std::vector<Candidate> &candidates, std::size_t wanted)
{
    Fitness worst = Fitness::Good;
    while (worst < Fitness::Doubtful && countOf(candidates, worst) < std::min(wanted, fewest)) {
        worst = static_cast<Fitness>(static_cast<std::uint8_t>(worst) + 1);
    }
    if (countOf(candidates, worst) == 0) {
        worst = Fitness::LastResort;
    }
    std::erase_if(candidates, [worst](const Candidate &candidate) {
        return candidate.fitness > worst;
    });
}

} // namespace

EntrySelector::EntrySelector(std::chrono::milliseconds rampUp) : rampUp(rampUp)
{
}

double EntrySelector::weightOf(const Member &member, WallTime now) const
{
    // NOTE: Clocks of the VMs differ a little; that moves the ramp by as much and does no harm.
    const std::chrono::duration<double> age = now - member.started;
    const std::chrono::duration<double> ramp = this->rampUp;
    const double grown = ramp.count() > 0 ? std::clamp(age / ramp, 0.0, 1.0) : 1;
    const double spare = 1 - std::min(member.pressure, overloaded) / (2.0 * overloaded);
    return (leastShare + (1 - leastShare) * grown) * spare;
}

std::vector<EntryAddress> EntrySelector::select(const MemberView &view, const EntryQuery &query, WallTime now) const
{
    const std::uint64_t key = stableHash(query.caller);
    std::vector<Candidate> candidates;
    for (const Member &member : view.members()) {
        const double share = shareOf(rendezvousWeight(key, member.session.value()));
        const double score = this->weightOf(member, now) / -std::log(share);
        candidates.push_back({&member, fitnessOf(member), member.failureDomain == query.near, score});
    }
    keepFit(candidates, query.count);
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) {
        if (left.fitness != right.fitness) {
            return left.fitness < right.fitness;
        }
        return left.isNear != right.isNear ? left.isNear : left.score > right.score;
    });
    const std::size_t count = std::min(candidates.size(), std::max<std::size_t>(query.count, 1));
    if (count > 1) {
        const FailureDomain &first = candidates.front().member->failureDomain;
        const auto isElsewhere = [&first](const Candidate &candidate) {
            return candidate.member->failureDomain != first;
        };
        const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(count - 1);
        const auto elsewhere = std::ranges::find_if(candidates, isElsewhere);
        if (elsewhere != candidates.end() && elsewhere > last) {
            std::iter_swap(last, elsewhere);
        }
    }
    std::vector<EntryAddress> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        addresses.push_back({candidates[i].member->http, candidates[i].member->failureDomain});
    }
    return addresses;
}

} // namespace Dogwoodkeel
