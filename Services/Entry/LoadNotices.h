#pragma once

#include <LibFleet/Replica.h>
#include <LibMembership/MemberView.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>

#include <list>
#include <set>

namespace Dogwoodkeel
{

/**
 * Tells the holder of a replica's lane how many online requests this entry has there, at once when the number changes
 * (changes of one turn of the loop together) and again at intervals, so that a lost datagram heals.
 */
class LoadNotices
{
public:
    LoadNotices(EventLoop &loop, DatagramSocket &socket, SessionNumber self);

    void setView(MemberViewPointer view);

    /** This node goes on as another session. */
    void setSession(SessionNumber self);

    /** The number of online requests on a replica changed. */
    void changed(const Replica &replica);

    /** Repeat the numbers of all replicas in use. */
    void repeat(const std::list<Replica> &replicas);

    /** Tell of the changes so far now, before replicas are taken out. */
    void flush();

private:
    void send(const EndpointName &name, std::uint32_t inFlight);

    EventLoop &loop;
    DatagramSocket &socket;
    SessionNumber self;
    MemberViewPointer view;
    std::uint64_t sequence = 0;
    std::set<const Replica *> dirty;
};

} // namespace Dogwoodkeel
