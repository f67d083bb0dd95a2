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
 * Sends the number of this entry's online requests on a replica to the holder of the replica's lane. Sends at once
 * when the number changes, combining the changes of one turn of the loop, and repeats at intervals to make up for
 * lost datagrams.
 */
class LoadNotices
{
public:
    LoadNotices(EventLoop &loop, DatagramSocket &socket, SessionNumber self);

    void setView(MemberViewPointer view);

    /** Continues under another session number. */
    void setSession(SessionNumber self);

    /** Schedules a notice: the number of online requests on a replica changed. */
    void changed(const Replica &replica);

    /** Sends the numbers of all replicas in use again. */
    void repeat(const std::list<Replica> &replicas);

    /** Sends all pending changes now, before replicas are removed. */
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
