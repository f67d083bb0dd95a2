#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Hash of the content of a request, independent of its id and its sender. */
using ContentFingerprint = StrongType<struct ContentFingerprintTag, std::uint64_t>;

/**
 * @param serves the model or plain service
 * @param body the request; of a completion's JSON only the prompt or the messages are hashed, so that a resend with
 *             another length, or as a batch item, has the same fingerprint
 */
ContentFingerprint contentFingerprint(std::string_view serves, std::string_view body);

/** The loss of an endpoint while it ran a request. */
struct EndpointLoss
{
    EndpointName endpoint;
    FailureDomain failureDomain;
    /** When the request was sent to the endpoint. */
    SteadyTime sent{};
    /** When the loss was detected. */
    SteadyTime seen{};
};

/** To what degree a request is suspected of crashing endpoints. */
enum class QuarantineStatus {
    Clear,
    /** It ran on an endpoint that was lost, possibly without causing the loss. */
    Suspect,
    /** It is not run on any endpoint until its quarantine ends. */
    Quarantined,
};

/**
 * Detects requests that crash the endpoints that run them. Such a request, resent by its caller or by a retry, would
 * take down one endpoint of the site after the other; after two losses it is refused.
 *
 * Other requests that ran on a lost endpoint are suspected as well. They are cleared by their first success on any
 * endpoint, or by timeout. Losses within one failure domain that affect requests sent before the first of these losses
 * was detected count as one: the failure of a rack takes down many endpoints, and a popular request that ran on two of
 * them is not the cause. A request that is retried or resent after a detected loss is not exempted this way, so it
 * reaches two endpoints at most.
 *
 * Performs no I/O. Losses and successes, of this and other nodes, may be recorded in any order and repeatedly.
 */
class Quarantine
{
public:
    /** Threshold, duration and size limit. */
    struct Options
    {
        /** Number of losses after which a request is quarantined. */
        std::size_t losses = 2;
        /** How long a suspicion or a quarantine lasts after the last loss. */
        std::chrono::milliseconds duration{600000};
        /** Maximum number of recorded requests; the oldest record is removed first. */
        std::size_t maxRecords = 10000;
    };

    Quarantine(const Clock &clock, Options options);

    /** Replaces the options for losses recorded from now on. */
    void setOptions(const Options &options);

    /** @return the current status of a request */
    QuarantineStatus status(ContentFingerprint request) const;

    /** @return the remaining time of a quarantine; zero if the request is not quarantined */
    std::chrono::milliseconds remaining(ContentFingerprint request) const;

    /** Records the loss of an endpoint while it ran the request. @return the resulting status */
    QuarantineStatus recordLoss(ContentFingerprint request, const EndpointLoss &loss);

    /** Clears the request because it completed on an endpoint. @return whether it had been suspected */
    bool recordSuccess(ContentFingerprint request);

    /** @return the losses recorded for a request */
    std::vector<EndpointLoss> recordedLosses(ContentFingerprint request) const;

    /** @return the requests that are currently quarantined */
    std::vector<ContentFingerprint> quarantined() const;

    std::size_t size() const;

private:
    struct Record
    {
        std::vector<EndpointLoss> losses;
        SteadyTime until{};
    };

    const Record *find(ContentFingerprint request) const;
    void removeExpired();

    const Clock &clock;
    Options options;
    std::unordered_map<ContentFingerprint, Record> records;
    /** Creation time of each record, used to remove the oldest. A renewed record has more than one entry. */
    std::deque<std::pair<SteadyTime, ContentFingerprint>> insertionOrder;
};

} // namespace Dogwoodkeel
