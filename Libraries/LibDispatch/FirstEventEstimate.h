#pragma once

#include <chrono>

namespace Dogwoodkeel
{

/**
 * How long a replica takes from getting a request to its first event. A request that is placed later than this before its
 * objective is over is late, though it was placed in time: the prompt has to be read first.
 */
class FirstEventEstimate
{
public:
    /** A request had its first event. */
    void note(std::chrono::nanoseconds took);

    /** @return a time within which most requests have their first event. */
    std::chrono::milliseconds value() const;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** Before anything is learned: an engine's set-up and a prompt of some hundred tokens. */
    Milliseconds mean{60};
    Milliseconds deviation{10};
};

} // namespace Dogwoodkeel
