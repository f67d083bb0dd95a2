#pragma once

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * How far this node trusts itself to judge others. A node that is paused, starved or badly connected sees many members
 * fail to answer; it gives them more time, so that its own slowness does not become their death (Lifeguard, 2018,
 * section IV-A).
 */
class LocalHealth
{
public:
    /** A probe was answered in time. */
    void succeeded();

    /** A probe was not answered, this node had to refute, or it found that it had been paused. */
    void failed();

    /** @return 1 for a healthy node, up to 8; times are multiplied by it. */
    std::int64_t factor() const;

private:
    std::int64_t score = 0;
};

} // namespace Dogwoodkeel
