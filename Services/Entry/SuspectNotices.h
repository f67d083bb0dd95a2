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
 * Keeps the quarantine consistent across nodes. Sends each loss and each success that clears a suspected request to
 * every node at once, and repeats it shortly after in case the datagram was lost. A request that was refused at one
 * node is then refused at the next one that its caller tries.
 */
class SuspectNotices
{
public:
    SuspectNotices(EventLoop &loop, const Clock &clock, DatagramSocket &socket, SessionNumber self, Quarantine::Options options);

    void setView(MemberViewPointer view);

    /** Replaces the durations and sizes of the quarantine. */
    void setOptions(const Quarantine::Options &options);

    const Quarantine &quarantine() const;

    /** Records that a request was lost together with the endpoint that ran it. */
    void recordLoss(ContentFingerprint request, const EndpointLoss &point);

    /** Records that a request ran to its end. */
    void recordSuccess(ContentFingerprint request);

    /** Applies a notice from another node. */
    void receive(const SuspectNotice &notice);

private:
    struct Loss
    {
        ContentFingerprint request;
        EndpointLoss point;
    };

    void scheduleSend();
    void sendToMembers(const std::vector<Loss> &losses, const std::vector<std::uint64_t> &cleared);
    SuspectNotice notice(const std::vector<Loss> &losses, const std::vector<std::uint64_t> &cleared) const;

    EventLoop &loop;
    const Clock &clock;
    DatagramSocket &socket;
    SessionNumber self;
    Quarantine requestQuarantine;
    MemberViewPointer view;
    std::vector<Loss> newLosses;
    std::vector<std::uint64_t> newCleared;
    bool isSendScheduled = false;
};

} // namespace Dogwoodkeel
