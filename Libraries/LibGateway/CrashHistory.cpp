#include <LibGateway/CrashHistory.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <tuple>

namespace Dogwoodkeel
{

namespace
{

/** A request with this many crashes is refused or held. */
constexpr int crashLimit = 3;
/** A request that was served within this time is not considered the cause of crashes. */
constexpr std::chrono::seconds recentlyServedWindow{30};
/** Limits memory; far more than one node serves within that time. */
constexpr std::size_t maxServedRequests = 20000;
/** How long crashes are kept: longer than a caller keeps retrying a request, short enough for a replica to be fixed. */
constexpr std::chrono::minutes retention{2};
/** Limits memory; far more than can occur at the rate at which crashed replicas restart. */
constexpr std::size_t maxEntries = 20000;
/**
 * Disconnects within this time count as simultaneous. Connections that the network resets together are lost within 10 ms of each
 * other on a node with half a core and thirty connections. Crashes of successive replicas under one request are at least a round
 * trip and the start of a run apart.
 */
constexpr std::chrono::milliseconds simultaneityWindow{50};
static_assert(simultaneityWindow < CrashHistory::classificationDelay);
/**
 * How long an item is held after its third crash, and after each further one. It is owed, and a valid item may meet many crashes
 * in a burst, so the hold does not grow with their number.
 */
constexpr std::chrono::seconds holdAtLimit{5};
constexpr std::chrono::seconds maxHold{10};
/** Limits memory and the size of reports; further replicas change no decision. */
constexpr std::size_t maxReplicas = 9;

/** Adds replicas to those that crashed under a request. */
void addReplicas(std::vector<std::uint64_t> &replicas, const std::vector<std::uint64_t> &more)
{
    for (const std::uint64_t replica : more) {
        if (replicas.size() < maxReplicas && std::ranges::find(replicas, replica) == replicas.end()) {
            replicas.push_back(replica);
        }
    }
}

} // namespace

CrashHistory::CrashHistory(const Clock &clock) : clock(clock), served(clock, recentlyServedWindow, maxServedRequests)
{
}

void CrashHistory::recordDisconnect(const InterruptedRun &run)
{
    this->disconnects.push_back({run, this->clock.now()});
}

bool CrashHistory::mayReachCrashLimit(std::uint64_t fingerprint) const
{
    const auto firstUnclassified = this->disconnects.begin() + static_cast<std::ptrdiff_t>(this->classifiedCount);
    return this->crashCount(fingerprint) == crashLimit - 1
        && std::any_of(firstUnclassified, this->disconnects.end(), [fingerprint](const Disconnect &open) {
               return open.run.fingerprint == fingerprint;
           });
}

std::vector<ClassifiedDisconnect> CrashHistory::classifyDisconnects()
{
    const SteadyTime now = this->clock.now();
    std::vector<ClassifiedDisconnect> classified;
    while (this->classifiedCount < this->disconnects.size()
           && now - this->disconnects[this->classifiedCount].time >= classificationDelay) {
        const Disconnect &next = this->disconnects[this->classifiedCount++];
        const bool isCopy = std::ranges::any_of(classified, [&next](const ClassifiedDisconnect &other) {
            return other.run.fingerprint == next.run.fingerprint && other.run.replica == next.run.replica;
        });
        if (!isCopy) {
            classified.push_back(this->classify(next));
        }
    }
    while (this->classifiedCount > 0 && now - this->disconnects.front().time > classificationDelay + simultaneityWindow) {
        this->disconnects.pop_front();
        --this->classifiedCount;
    }
    for (const ClassifiedDisconnect &entry : classified) {
        if (entry.isCrash) {
            this->recordCrash(entry.run.fingerprint, entry.run.replica);
        }
    }
    return classified;
}

ClassifiedDisconnect CrashHistory::classify(const Disconnect &next) const
{
    // Attempts of one request run one after another, so their disconnects are not one reset of many connections.
    const auto other = std::ranges::find_if(this->disconnects, [&next](const Disconnect &candidate) {
        return candidate.run.replica != next.run.replica && candidate.run.fingerprint != next.run.fingerprint
            && std::chrono::abs(candidate.time - next.time) <= simultaneityWindow;
    });
    if (other == this->disconnects.end()) {
        return {next.run, true};
    }
    const auto apart = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::abs(other->time - next.time));
    return {next.run, false, other->run.replica, apart};
}

CrashHistory::Entry &CrashHistory::entryOf(std::uint64_t fingerprint, SteadyTime time)
{
    if (this->entries.size() >= maxEntries) {
        this->removeExpired();
    }
    Entry &entry = this->entries[fingerprint];
    if (this->clock.now() - entry.last > retention) {
        entry.replicas.clear();
    }
    entry.last = std::max(entry.last, time);
    return entry;
}

void CrashHistory::recordCrash(std::uint64_t fingerprint, const EndpointName &replica)
{
    addReplicas(this->entryOf(fingerprint, this->clock.now()).replicas, {stableHash(replica.value())});
}

std::vector<CrashHistory::RequestCrashes> CrashHistory::requestCrashes(std::size_t maxCount) const
{
    const SteadyTime now = this->clock.now();
    std::vector<RequestCrashes> found;
    for (const auto &[fingerprint, entry] : this->entries) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.last);
        if (age <= retention) {
            found.push_back({fingerprint, entry.replicas, age});
        }
    }
    std::ranges::sort(found, [](const RequestCrashes &one, const RequestCrashes &other) {
        return std::tuple(other.replicas.size(), one.age) < std::tuple(one.replicas.size(), other.age);
    });
    found.resize(std::min(found.size(), maxCount));
    return found;
}

void CrashHistory::merge(const RequestCrashes &reported)
{
    if (reported.age > retention) {
        return;
    }
    const SteadyTime lastCrash = this->clock.now() - reported.age;
    const std::optional<SteadyTime> lastServed = this->served.last(reported.fingerprint);
    // The other node may not have received yet that the request was served since.
    if (lastServed && *lastServed >= lastCrash) {
        return;
    }
    addReplicas(this->entryOf(reported.fingerprint, lastCrash).replicas, reported.replicas);
}

int CrashHistory::crashCount(std::uint64_t fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    const bool isKnown = found != this->entries.end() && this->clock.now() - found->second.last <= retention;
    return isKnown ? static_cast<int>(found->second.replicas.size()) : 0;
}

bool CrashHistory::recordServed(std::uint64_t fingerprint)
{
    this->served.record(fingerprint);
    return this->entries.erase(fingerprint) > 0;
}

bool CrashHistory::isRecentlyServed(std::uint64_t fingerprint) const
{
    const std::optional<SteadyTime> last = this->served.last(fingerprint);
    return last && this->clock.now() - *last <= recentlyServedWindow;
}

bool CrashHistory::isRefused(std::uint64_t fingerprint) const
{
    return this->crashCount(fingerprint) >= crashLimit && !this->isRecentlyServed(fingerprint);
}

bool CrashHistory::isHeld(std::uint64_t fingerprint) const
{
    const int crashes = this->crashCount(fingerprint);
    if (crashes < crashLimit || this->isRecentlyServed(fingerprint)) {
        return false;
    }
    return this->clock.now() - this->entries.at(fingerprint).last < (crashes > crashLimit ? maxHold : holdAtLimit);
}

void CrashHistory::removeExpired()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(this->entries, [now](const auto &entry) {
        return now - entry.second.last > retention;
    });
    if (this->entries.size() >= maxEntries) {
        this->entries.clear();
    }
}

} // namespace Dogwoodkeel
