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
constexpr double minWeightShare = 0.2;
/** With fewer fit nodes than this, less fit ones are added: a caller with a single address has no second try. */
constexpr std::size_t minCandidates = 2;

/** How suitable a node is for an answer, best first. */
enum class Fitness : std::uint8_t {
    Good,
    Overloaded,
    Uncertain,
    LastResort,
};

/** A node and its rank for one caller. */
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
        return Fitness::Uncertain;
    }
    return member.pressure >= overloaded ? Fitness::Overloaded : Fitness::Good;
}

/** Maps a hash to the interval (0, 1]. */
double toUnitInterval(std::uint64_t hash)
{
    constexpr int mantissaBits = 53;
    return (static_cast<double>(hash >> (64 - mantissaBits)) + 1) / static_cast<double>(std::uint64_t(1) << mantissaBits);
}

std::size_t countOf(const std::vector<Candidate> &candidates, Fitness worst)
{
    return static_cast<std::size_t>(std::ranges::count_if(candidates, [worst](const Candidate &candidate) {
        return candidate.fitness <= worst;
    }));
}

/** Removes the less fit candidates, except the classes that are needed to have a few addresses. */
void removeUnfit(std::vector<Candidate> &candidates, std::size_t wanted)
{
    Fitness worst = Fitness::Good;
    while (worst < Fitness::Uncertain && countOf(candidates, worst) < std::min(wanted, minCandidates)) {
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
    // NOTE: The clocks of the VMs differ slightly, which shifts the ramp by the same amount and is harmless.
    const std::chrono::duration<double> age = now - member.started;
    const std::chrono::duration<double> ramp = this->rampUp;
    const double rampFactor = ramp.count() > 0 ? std::clamp(age / ramp, 0.0, 1.0) : 1;
    const double spareCapacity = 1 - std::min(member.pressure, overloaded) / (2.0 * overloaded);
    return (minWeightShare + (1 - minWeightShare) * rampFactor) * spareCapacity;
}

std::vector<EntryAddress> EntrySelector::select(const MemberView &view, const EntryQuery &query, WallTime now) const
{
    const std::uint64_t key = stableHash(query.caller);
    std::vector<Candidate> candidates;
    for (const Member &member : view.members()) {
        const double share = toUnitInterval(rendezvousWeight(key, member.session.value()));
        const double score = this->weightOf(member, now) / -std::log(share);
        candidates.push_back({&member, fitnessOf(member), member.failureDomain == query.near, score});
    }
    removeUnfit(candidates, query.count);
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) {
        if (left.fitness != right.fitness) {
            return left.fitness < right.fitness;
        }
        return left.isNear != right.isNear ? left.isNear : left.score > right.score;
    });
    const std::size_t count = std::min(candidates.size(), std::max<std::size_t>(query.count, 1));
    if (count > 1) {
        const FailureDomain &first = candidates.front().member->failureDomain;
        const auto isInOtherDomain = [&first](const Candidate &candidate) {
            return candidate.member->failureDomain != first;
        };
        const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(count - 1);
        const auto otherDomain = std::ranges::find_if(candidates, isInOtherDomain);
        if (otherDomain != candidates.end() && otherDomain > last) {
            std::iter_swap(last, otherDomain);
        }
    }
    std::vector<EntryAddress> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        addresses.push_back({candidates[i].member->http, candidates[i].member->failureDomain});
    }
    return addresses;
}

} // namespace Dogwoodkeel
