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
 * The other members, and those that were lost of late without having left and are not back: a part of the fleet that is cut off
 * from this one, most likely, which goes on by itself.
 */
class RecentMembers
{
public:
    explicit RecentMembers(const Clock &clock);

    /** Take the members as they are seen now. */
    void update(const MemberView &view, SessionNumber self);

    /** @return where they take datagrams. */
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
    /** By VM: one that was started again is another member, and the same VM. */
    std::map<std::string, Known> present;
    std::map<std::string, Lost> lost;
};

} // namespace Dogwoodkeel
