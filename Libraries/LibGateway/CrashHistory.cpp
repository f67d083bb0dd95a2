#include <LibGateway/CrashHistory.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <tuple>

namespace Dogwoodkeel
{

namespace
{

/** A request with this many crashes is refused or held. */
constexpr int mostCrashes = 3;
/** A request that was served within this time is not considered the cause of crashes. */
constexpr std::chrono::seconds servedRecently{30};
/** Limits memory; far more than one node serves within that time. */
constexpr std::size_t mostServed = 20000;
/** How long crashes are kept. Longer than a caller keeps retrying a request, short enough for a fixed replica to be used again. */
constexpr std::chrono::minutes remembered{2};
/** Limits memory; far more than can occur at the rate at which crashed replicas restart. */
constexpr std::size_t mostEntries = 20000;
/**
 * Disconnects within this time count as simultaneous. Connections that the network resets together are lost within 10 ms of each
 * other on a node with half a core and thirty connections. Crashes of successive replicas under one request are at least a round
 * trip and the start of a run apart.
 */
constexpr std::chrono::milliseconds sameMoment{50};
static_assert(sameMoment < CrashHistory::classificationDelay);
/** How long an item is held after its third crash. Doubles with each further crash, which makes it more likely the cause. */
constexpr std::chrono::seconds firstHold{5};
constexpr int mostDoublings = 6;
/** Further replicas would not change the hold time. */
constexpr std::size_t mostReplicas = mostCrashes + mostDoublings;

/** Adds replicas to those that crashed under a request, without duplicates. */
void join(std::vector<std::uint64_t> &replicas, const std::vector<std::uint64_t> &more)
{
    for (const std::uint64_t replica : more) {
        if (replicas.size() < mostReplicas && std::ranges::find(replicas, replica) == replicas.end()) {
            replicas.push_back(replica);
        }
    }
}

} // namespace

CrashHistory::CrashHistory(const Clock &clock) : clock(clock), served(clock, servedRecently, mostServed)
{
}

void CrashHistory::recordDisconnect(const InterruptedRun &run)
{
    this->breaks.push_back({run, this->clock.now()});
}

bool CrashHistory::mayReachCrashLimit(std::uint64_t fingerprint) const
{
    const auto firstOpen = this->breaks.begin() + static_cast<std::ptrdiff_t>(this->judgedBreaks);
    return this->crashCount(fingerprint) == mostCrashes - 1
        && std::any_of(firstOpen, this->breaks.end(), [fingerprint](const Break &open) {
               return open.run.fingerprint == fingerprint;
           });
}

std::vector<ClassifiedDisconnect> CrashHistory::classifyDisconnects()
{
    const SteadyTime now = this->clock.now();
    std::vector<ClassifiedDisconnect> judged;
    while (this->judgedBreaks < this->breaks.size() && now - this->breaks[this->judgedBreaks].time >= classificationDelay) {
        const Break &next = this->breaks[this->judgedBreaks++];
        const bool isCopy = std::ranges::any_of(judged, [&next](const ClassifiedDisconnect &other) {
            return other.run.fingerprint == next.run.fingerprint && other.run.replica == next.run.replica;
        });
        if (!isCopy) {
            judged.push_back(this->judge(next));
        }
    }
    while (this->judgedBreaks > 0 && now - this->breaks.front().time > classificationDelay + sameMoment) {
        this->breaks.pop_front();
        --this->judgedBreaks;
    }
    for (const ClassifiedDisconnect &entry : judged) {
        if (entry.isCrash) {
            this->recordCrash(entry.run.fingerprint, entry.run.replica);
        }
    }
    return judged;
}

ClassifiedDisconnect CrashHistory::judge(const Break &next) const
{
    // Attempts of one request run one after another, so their disconnects are not one reset of many connections.
    const auto other = std::ranges::find_if(this->breaks, [&next](const Break &candidate) {
        return candidate.run.replica != next.run.replica && candidate.run.fingerprint != next.run.fingerprint
            && std::chrono::abs(candidate.time - next.time) <= sameMoment;
    });
    if (other == this->breaks.end()) {
        return {next.run, true};
    }
    const auto timeDifference = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::abs(other->time - next.time));
    return {next.run, false, other->run.replica, timeDifference};
}

CrashHistory::Entry &CrashHistory::entryOf(std::uint64_t fingerprint, SteadyTime time)
{
    if (this->entries.size() >= mostEntries) {
        this->forgetOld();
    }
    Entry &entry = this->entries[fingerprint];
    if (this->clock.now() - entry.last > remembered) {
        entry.replicas.clear();
    }
    entry.last = std::max(entry.last, time);
    return entry;
}

void CrashHistory::recordCrash(std::uint64_t fingerprint, const EndpointName &replica)
{
    join(this->entryOf(fingerprint, this->clock.now()).replicas, {stableHash(replica.value())});
}

std::vector<CrashHistory::RequestCrashes> CrashHistory::requestCrashes(std::size_t most) const
{
    const SteadyTime now = this->clock.now();
    std::vector<RequestCrashes> found;
    for (const auto &[fingerprint, entry] : this->entries) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.last);
        if (age <= remembered) {
            found.push_back({fingerprint, entry.replicas, age});
        }
    }
    std::ranges::sort(found, [](const RequestCrashes &one, const RequestCrashes &other) {
        return std::tuple(other.replicas.size(), one.age) < std::tuple(one.replicas.size(), other.age);
    });
    found.resize(std::min(found.size(), most));
    return found;
}

void CrashHistory::merge(const RequestCrashes &reported)
{
    if (reported.age > remembered) {
        return;
    }
    const SteadyTime lastCrash = this->clock.now() - reported.age;
    const std::optional<SteadyTime> lastServed = this->served.last(reported.fingerprint);
    // The other node may not have received yet that the request was served since.
    if (lastServed && *lastServed >= lastCrash) {
        return;
    }
    join(this->entryOf(reported.fingerprint, lastCrash).replicas, reported.replicas);
}

int CrashHistory::crashCount(std::uint64_t fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    const bool isKnown = found != this->entries.end() && this->clock.now() - found->second.last <= remembered;
    return isKnown ? static_cast<int>(found->second.replicas.size()) : 0;
}

bool CrashHistory::recordServed(std::uint64_t fingerprint)
{
    this->served.note(fingerprint);
    return this->entries.erase(fingerprint) > 0;
}

bool CrashHistory::isServed(std::uint64_t fingerprint) const
{
    const std::optional<SteadyTime> last = this->served.last(fingerprint);
    return last && this->clock.now() - *last <= servedRecently;
}

bool CrashHistory::isRefused(std::uint64_t fingerprint) const
{
    return this->crashCount(fingerprint) >= mostCrashes && !this->isServed(fingerprint);
}

bool CrashHistory::isHeld(std::uint64_t fingerprint) const
{
    const int crashes = this->crashCount(fingerprint);
    if (crashes < mostCrashes || this->isServed(fingerprint)) {
        return false;
    }
    const int doublings = std::min(crashes - mostCrashes, mostDoublings);
    return this->clock.now() - this->entries.at(fingerprint).last <= firstHold * (1 << doublings);
}

void CrashHistory::forgetOld()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(this->entries, [now](const auto &entry) {
        return now - entry.second.last > remembered;
    });
    if (this->entries.size() >= mostEntries) {
        this->entries.clear();
    }
}

} // namespace Dogwoodkeel
