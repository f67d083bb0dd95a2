#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibGateway/ServedTimes.h>
#include <LibGateway/ServingConfiguration.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** A run of a request on a replica that ended because the connection was lost. */
struct InterruptedRun
{
    /** Hash of what the request asks for. */
    std::uint64_t fingerprint = 0;
    EndpointName replica;
    Address address{};
    ServiceName service{};
    /** Names of the parts of its prompt that other requests may have too. */
    std::vector<std::string> promptParts{};
    /** Events that the replica had written in this run. */
    std::uint32_t events = 0;

    bool operator==(const InterruptedRun &) const = default;
};

/** An interrupted run and its cause. */
struct ClassifiedDisconnect
{
    InterruptedRun run;
    /** Whether the replica crashed. If not, connections to several replicas were lost at once, and only these show the cause. */
    bool isCrash = false;
    /** If the cause is unknown: another replica to which a connection was lost at the same time. */
    EndpointName otherReplica{};
    /** Time between the losses of the two connections. */
    std::chrono::milliseconds timeDifference{0};
};

/**
 * Counts replica crashes per request content, to detect and refuse requests that crash the replicas that run them.
 *
 * Requests are identified by a fingerprint of their contents, because a caller retries with new ids, and an undetected request
 * would crash one replica after another. An ordinary request meets one crash by chance, rarely two; after the third crash a
 * request is refused for a while. A request that many callers send may meet several crashes at once without being the cause;
 * it is not refused if it was served recently.
 */
class CrashHistory
{
public:
    /** Delay between a disconnect and its classification: other connections may be lost at the same time. */
    static constexpr std::chrono::milliseconds classificationDelay{60};

    explicit CrashHistory(const Clock &clock);

    /** Records that a connection was lost while a request ran on it. It is classified after `classificationDelay`. */
    void recordDisconnect(const InterruptedRun &run);

    /** @return whether an unclassified disconnect of the request, if it is a crash, brings the request to the crash limit. */
    bool mayReachCrashLimit(std::uint64_t fingerprint) const;

    /** Classifies the disconnects that are old enough, and records the crashes, once for copies of a request. */
    std::vector<ClassifiedDisconnect> classifyDisconnects();

    /** Records that a replica crashed while it ran the request. Counts once for all copies and all nodes that report it. */
    void recordCrash(std::uint64_t fingerprint, const EndpointName &replica);

    /**
     * Records that a replica answered the request completely, and removes the crashes that were attributed to it.
     * @return whether crashes were attributed to it; other nodes may have them too
     */
    bool recordServed(std::uint64_t fingerprint);

    /** The crashes that a node attributes to a request. */
    struct RequestCrashes
    {
        std::uint64_t fingerprint = 0;
        /** Hashes of the replicas that crashed. */
        std::vector<std::uint64_t> replicas{};
        /** Time since the last crash. */
        std::chrono::milliseconds age{0};
    };

    /**
     * @return the requests with crashes, ordered by descending number of crashes, then by ascending age
     * @param maxCount maximum number of requests
     */
    std::vector<RequestCrashes> requestCrashes(std::size_t maxCount) const;

    /** Merges the crashes that another node attributes to a request. */
    void merge(const RequestCrashes &reported);

    /** @return how many crashes a request has met that are remembered. */
    int crashCount(std::uint64_t fingerprint) const;

    /** @return whether an online request has to be refused. */
    bool isRefused(std::uint64_t fingerprint) const;

    /** @return whether a batch item must wait. It is retried after seconds, as only a run shows whether it is the cause. */
    bool isHeld(std::uint64_t fingerprint) const;

private:
    struct Entry
    {
        /** Hashes of the replicas that crashed. */
        std::vector<std::uint64_t> replicas;
        /** Time of the last crash. */
        SteadyTime last{};
    };

    struct Disconnect
    {
        InterruptedRun run;
        SteadyTime time{};
    };

    ClassifiedDisconnect classify(const Disconnect &next) const;
    Entry &entryOf(std::uint64_t fingerprint, SteadyTime time);
    void removeExpired();

    bool isRecentlyServed(std::uint64_t fingerprint) const;

    const Clock &clock;
    std::map<std::uint64_t, Entry> entries;
    ServedTimes served;
    /** Ordered by time. Classified ones are kept at the front while later ones are compared with them. */
    std::deque<Disconnect> disconnects;
    /** Number of classified entries at the front of `disconnects`. */
    std::size_t classifiedCount = 0;
};

} // namespace Dogwoodkeel
