#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <random>

namespace Dogwoodkeel
{

/**
 * Decides whether the platform is called at all. After failures in a row it is given a rest, with one call at a time to
 * see whether it is back; the rests grow, with jitter, so that the nodes of a site do not all come at once.
 *
 * Without it each waiting call of each node would be repeated against a platform that is down or just coming back, and
 * the repeats alone could keep it down.
 */
class PlatformCircuit
{
public:
    /** When it opens, and for how long. */
    struct Options
    {
        int failuresInARow = 5;
        std::chrono::milliseconds firstRest{100};
        std::chrono::milliseconds longestRest{5000};
    };

    PlatformCircuit(const Clock &clock, Options options, std::uint64_t seed);

    /** @return whether a call may be made now; if so, its outcome must be told. */
    bool admit();

    /** @param isAnswered whether the platform gave any answer that shows it works, a refusal included */
    void onOutcome(bool isAnswered);

    /** @return whether calls are turned away. */
    bool isOpen() const;

private:
    void rest();

    const Clock &clock;
    Options options;
    std::mt19937_64 random;
    int failures = 0;
    bool open = false;
    bool isProbing = false;
    std::chrono::milliseconds nextRest;
    SteadyTime restEnd{};
};

} // namespace Dogwoodkeel
