#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>

#include <map>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Tracks the other members, including those that were lost recently without having left and have not returned. These are most
 * likely still running on the other side of a partition.
 */
class RecentMembers
{
public:
    explicit RecentMembers(const Clock &clock);

    /** Applies a new view of the members. */
    void update(const MemberView &view, SessionNumber self);

    /** @return the gossip addresses of the members that are not leaving and of those that were lost recently. */
    std::vector<Address> others() const;

private:
    struct Known
    {
        Address gossip;
        bool isLeaving = false;
    };

    struct Lost
    {
        Address gossip;
        SteadyTime since{};
    };

    const Clock &clock;
    /** By VM: a node that restarts is another member on the same VM. */
    std::map<std::string, Known> present;
    std::map<std::string, Lost> lost;
};

} // namespace Dogwoodkeel
