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

/** Hash of what a request asks for, whatever id it carries and whoever sends it. */
using ContentFingerprint = StrongType<struct ContentFingerprintTag, std::uint64_t>;

/**
 * @param serves the model or plain service
 * @param body the request; of a completion's JSON only the prompt or the messages count, so that a resend with another
 *             length, or as a batch item, is known again
 */
ContentFingerprint contentFingerprint(std::string_view serves, std::string_view body);

/** An endpoint was lost while it ran a request. */
struct CrashPoint
{
    EndpointName endpoint;
    FailureDomain failureDomain;
    /** When the request was sent there. */
    SteadyTime sent{};
    /** When the loss was seen. */
    SteadyTime seen{};
};

/** How far a request is held to crash endpoints. */
enum class QuarantineStatus {
    Clear,
    /** It was running on one endpoint that was lost; it may be a bystander. */
    Suspect,
    /** It runs nowhere until its quarantine ends. */
    Quarantined,
};

/**
 * Which requests crash the endpoints that run them. One such request, sent again by its caller or by a retry, would take
 * down a site endpoint by endpoint; after two losses it is refused.
 *
 * What else ran on a lost endpoint is suspected as well, and cleared by its first success anywhere, or by time. Losses of
 * one failure domain that hit requests sent before the first of them was seen count as one: a rack that goes takes many
 * endpoints with it, and a popular request on two of them has done nothing. A request that is retried or resent after a
 * loss was seen never has that excuse, so it reaches two endpoints at most.
 *
 * Pure: told of losses and successes, here and on other nodes, in any order and more than once.
 */
class Quarantine
{
public:
    /** Times and sizes. */
    struct Options
    {
        /** Losses after which a request runs no more. */
        std::size_t losses = 2;
        /** How long a suspicion or a quarantine lasts after the last loss. */
        std::chrono::milliseconds duration{600000};
        /** Requests remembered at most; the oldest suspicion goes first. */
        std::size_t remembered = 10000;
    };

    Quarantine(const Clock &clock, Options options);

    /** Other times and sizes, for the losses from now on. */
    void setOptions(const Options &options);

    /** @return how a request stands now. */
    QuarantineStatus status(ContentFingerprint request) const;

    /** @return how long a quarantine still lasts; zero without one. */
    std::chrono::milliseconds remaining(ContentFingerprint request) const;

    /** An endpoint was lost while it ran the request. @return how the request stands after it */
    QuarantineStatus recordLoss(ContentFingerprint request, const CrashPoint &point);

    /** The request ran to its end somewhere: it is cleared. @return whether it had been suspected */
    bool recordSuccess(ContentFingerprint request);

    /** @return what is held against a request. */
    std::vector<CrashPoint> points(ContentFingerprint request) const;

    /** @return the requests that are in quarantine now. */
    std::vector<ContentFingerprint> quarantined() const;

    std::size_t size() const;

private:
    struct Record
    {
        std::vector<CrashPoint> points;
        SteadyTime until{};
    };

    const Record *find(ContentFingerprint request) const;
    void forgetOld();

    const Clock &clock;
    Options options;
    std::unordered_map<ContentFingerprint, Record> records;
    /** When each record came, to drop the oldest. A record that was renewed stands here more than once. */
    std::deque<std::pair<SteadyTime, ContentFingerprint>> ages;
};

} // namespace Dogwoodkeel
