#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <random>

namespace Dogwoodkeel
{

/**
 * Circuit breaker for calls to the platform. Opens after consecutive failures and lets one probe through after each backoff.
 * The backoff grows, with jitter, so that the nodes of a site do not all probe at the same time.
 *
 * Without it, every node would retry every pending call against a platform that is down or recovering, and the retries alone
 * could keep it down.
 */
class PlatformCircuit
{
public:
    /** How many failures open the circuit, and for how long. */
    struct Options
    {
        int failureThreshold = 5;
        std::chrono::milliseconds initialBackoff{100};
        std::chrono::milliseconds maxBackoff{5000};
    };

    PlatformCircuit(const Clock &clock, Options options, std::uint64_t seed);

    /** @return whether a call may be made now; if so, its outcome must be reported with onOutcome(). */
    bool admit();

    /** @param isAnswered whether the platform gave an answer that shows that it works; a refusal is one */
    void onOutcome(bool isAnswered);

    /** @return whether calls are rejected. */
    bool isOpen() const;

private:
    void trip();

    const Clock &clock;
    Options options;
    std::mt19937_64 random;
    int consecutiveFailures = 0;
    bool open = false;
    bool isProbing = false;
    std::chrono::milliseconds nextBackoff;
    SteadyTime backoffEnd{};
};

} // namespace Dogwoodkeel
