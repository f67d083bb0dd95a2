#pragma once

#include <LibGateway/ServingReplica.h>

#include <deque>
#include <map>

namespace Dogwoodkeel
{

/** The replicas at which a node was most recently given slots. It may have open connections to them. */
class RecentReplicas
{
public:
    /** Adds or updates a replica. Beyond a limit, the address that was added first is dropped. */
    void add(const ServingReplica &replica);

    /** @return the replica at an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

private:
    std::map<Address, ServingReplica> byAddress;
    /** Addresses in the order in which they were first added. */
    std::deque<Address> order;
};

} // namespace Dogwoodkeel
