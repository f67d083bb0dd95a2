#pragma once

#include <LibGateway/ServingReplica.h>

#include <deque>
#include <map>

namespace Dogwoodkeel
{

/** The replicas that a node was given places at most recently: those to which it may have open connections. */
class RecentReplicas
{
public:
    void note(const ServingReplica &replica);

    /** @return the replica with an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

private:
    std::map<Address, ServingReplica> byAddress;
    /** Addresses in the order in which they were first noted. */
    std::deque<Address> order;
};

} // namespace Dogwoodkeel
