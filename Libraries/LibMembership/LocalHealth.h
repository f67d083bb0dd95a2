#pragma once

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Scores how reliable this node's own observations of other members are. A node that is paused, short of processor time or badly
 * connected sees many members fail to answer. It extends its timeouts, so that it does not declare others dead because it is slow
 * itself (Lifeguard, 2018, section IV-A).
 */
class LocalHealth
{
public:
    /** Records that a probe was answered in time. */
    void succeeded();

    /** Records that a probe was not answered, that this node had to refute a suspicion, or that it had been paused. */
    void failed();

    /** @return the factor for intervals and timeouts: 1 for a healthy node, up to 8. */
    std::int64_t factor() const;

private:
    std::int64_t score = 0;
};

} // namespace Dogwoodkeel
