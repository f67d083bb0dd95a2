#pragma once

#include <LibMembership/MemberView.h>
#include <LibRouting/Quarantine.h>
#include <LibTask/EventLoop.h>
#include <LibWire/DatagramSocket.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * The quarantine as all nodes have it: each loss and each acquittal seen here is told to every node at once, and again
 * a little later in case the datagram was lost. A request that was refused at one node is then refused at the next that
 * its caller turns to.
 */
class SuspectNotices
{
public:
    SuspectNotices(EventLoop &loop, const Clock &clock, DatagramSocket &socket, SessionNumber self, Quarantine::Options options);

    void setView(MemberViewPointer view);

    /** Other times and sizes of the quarantine from now on. */
    void setOptions(const Quarantine::Options &options);

    const Quarantine &quarantine() const;

    /** A request was lost with the endpoint it ran on. */
    void lost(ContentFingerprint request, const EndpointLoss &point);

    /** A request ran to its end. */
    void succeeded(ContentFingerprint request);

    /** Another node tells. */
    void receive(const SuspectNotice &notice);

private:
    struct Loss
    {
        ContentFingerprint request;
        EndpointLoss point;
    };

    void tellSoon();
    void tell(const std::vector<Loss> &losses, const std::vector<std::uint64_t> &cleared);
    SuspectNotice notice(const std::vector<Loss> &losses, const std::vector<std::uint64_t> &cleared) const;

    EventLoop &loop;
    const Clock &clock;
    DatagramSocket &socket;
    SessionNumber self;
    Quarantine held;
    MemberViewPointer view;
    std::vector<Loss> newLosses;
    std::vector<std::uint64_t> newCleared;
    bool isTelling = false;
};

} // namespace Dogwoodkeel
