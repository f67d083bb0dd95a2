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

/** A run of a request that ended with its connection. */
struct BrokenRun
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

    bool operator==(const BrokenRun &) const = default;
};

/** What a broken run is taken for. */
struct JudgedBreak
{
    BrokenRun run;
    /** Whether its replica crashed; else connections to several replicas broke at once, and only these can tell why. */
    bool isCrash = false;
    /** If that is open: another replica at which a connection broke at the same moment. */
    EndpointName otherReplica{};
    /** How long before or after this one the other connection broke. */
    std::chrono::milliseconds apart{0};
};

/**
 * Remembers which requests were running when their replica broke off. A request that crashes each replica that runs it
 * comes again with new ids; unless it is recognised, it takes one replica after the other away from everybody else.
 * Ordinary requests meet a crash by chance once, seldom twice; after the third, one is refused for a while. One that many callers
 * send may meet several at once, and is told from it by having been served.
 */
class CrashMemory
{
public:
    /** A break is judged this long after it: until then it may turn out to be one of many. */
    static constexpr std::chrono::milliseconds judgeAfter{60};

    explicit CrashMemory(const Clock &clock);

    /** A connection broke while a request ran on it. Whether its replica crashed is judged a little later. */
    void noteBreak(const BrokenRun &run);

    /** @return whether a break of the request that is not judged yet would be the crash after which it is refused. */
    bool isLastCrashInDoubt(std::uint64_t fingerprint) const;

    /** Judge the breaks that are old enough. Crashes are noted here, once for copies of a request. */
    std::vector<JudgedBreak> judgeBreaks();

    /** A replica crashed while it ran the request. Its crash counts once, however many copies it ran and nodes report it. */
    void noteCrash(std::uint64_t fingerprint, const EndpointName &replica);

    /**
     * A replica has answered the request whole: it crashes nothing.
     * @return whether crashes were held against it, as they may be at other nodes
     */
    bool noteServed(std::uint64_t fingerprint);

    /** What a node knows of a request that met crashes. */
    struct Known
    {
        std::uint64_t fingerprint = 0;
        /** Hashes of the replicas that crashed. */
        std::vector<std::uint64_t> replicas{};
        /** How long ago the last one did. */
        std::chrono::milliseconds age{0};
    };

    /**
     * @return what is remembered: requests with more crashes first, the most recent first of those with as many
     * @param most how many requests at most
     */
    std::vector<Known> known(std::size_t most) const;

    /** Another node remembers crashes. */
    void merge(const Known &reported);

    /** @return how many crashes a request has met that are remembered. */
    int crashesOf(std::uint64_t fingerprint) const;

    /** @return whether an online request has to be refused. */
    bool isRefused(std::uint64_t fingerprint) const;

    /** @return whether a batch item has to wait. It is tried again after a pause, as somebody has to find out some day. */
    bool isHeld(std::uint64_t fingerprint) const;

private:
    struct Entry
    {
        /** Hashes of the replicas that crashed. */
        std::vector<std::uint64_t> replicas;
        SteadyTime last{};
    };

    struct Break
    {
        BrokenRun run;
        SteadyTime time{};
    };

    JudgedBreak judge(const Break &next) const;
    Entry &entryOf(std::uint64_t fingerprint, SteadyTime time);
    void forgetOld();

    bool isServed(std::uint64_t fingerprint) const;

    const Clock &clock;
    std::map<std::uint64_t, Entry> entries;
    ServedTimes served;
    /** In order of time: those to be judged, and before them those that they are compared with. */
    std::deque<Break> breaks;
    /** So many at the front of `breaks` are judged. */
    std::size_t judgedBreaks = 0;
};

} // namespace Dogwoodkeel
