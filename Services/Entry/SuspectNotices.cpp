#include <Services/Entry/SuspectNotices.h>

#include <LibBase/Log.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Entries in one notice. A datagram larger than a packet is more likely to be lost. */
constexpr std::size_t maxNoticeEntries = 16;
/**
 * Delays after which a notice is repeated. Three losses in a row on one path within a second indicate a partition
 * rather than random loss.
 */
constexpr std::chrono::milliseconds repeatDelays[] = {std::chrono::milliseconds(50), std::chrono::milliseconds(1000)};

std::uint32_t millisecondsSince(SteadyTime then, SteadyTime now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

template <typename T>
std::vector<T> removeBatch(std::vector<T> &from)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(maxNoticeEntries, from.size()));
    std::vector<T> removed(from.begin(), from.begin() + count);
    from.erase(from.begin(), from.begin() + count);
    return removed;
}

} // namespace

SuspectNotices::SuspectNotices(
    EventLoop &loop, const Clock &clock, DatagramSocket &socket, SessionNumber self, Quarantine::Options options)
    : loop(loop)
    , clock(clock)
    , socket(socket)
    , self(self)
    , requestQuarantine(clock, options)
    , view(std::make_shared<MemberView>(std::vector<Member>()))
{
}

void SuspectNotices::setView(MemberViewPointer view)
{
    this->view = std::move(view);
}

const Quarantine &SuspectNotices::quarantine() const
{
    return this->requestQuarantine;
}

void SuspectNotices::setOptions(const Quarantine::Options &options)
{
    this->requestQuarantine.setOptions(options);
}

void SuspectNotices::recordLoss(ContentFingerprint request, const EndpointLoss &point)
{
    if (this->requestQuarantine.recordLoss(request, point) == QuarantineStatus::Quarantined) {
        log(LogLevel::Warning,
            "request quarantined",
            {{"fingerprint", static_cast<std::int64_t>(request.value())}, {"endpoint", point.endpoint.value()}});
    }
    this->newLosses.push_back({request, point});
    this->scheduleSend();
}

void SuspectNotices::recordSuccess(ContentFingerprint request)
{
    if (this->requestQuarantine.recordSuccess(request)) {
        this->newCleared.push_back(request.value());
        this->scheduleSend();
    }
}

void SuspectNotices::scheduleSend()
{
    if (std::exchange(this->isSendScheduled, true)) {
        return;
    }
    this->loop.post([this] {
        this->isSendScheduled = false;
        while (!this->newLosses.empty() || !this->newCleared.empty()) {
            const std::vector<Loss> losses = removeBatch(this->newLosses);
            const std::vector<std::uint64_t> cleared = removeBatch(this->newCleared);
            this->sendToMembers(losses, cleared);
            for (const std::chrono::milliseconds delay : repeatDelays) {
                this->loop.schedule(delay, [this, losses, cleared] {
                    this->sendToMembers(losses, cleared);
                });
            }
        }
    });
}

void SuspectNotices::sendToMembers(const std::vector<Loss> &losses, const std::vector<std::uint64_t> &cleared)
{
    const SuspectNotice message = this->notice(losses, cleared);
    for (const Member &member : this->view->members()) {
        if (member.session != this->self) {
            this->socket.send(member.fleet, message);
        }
    }
}

SuspectNotice SuspectNotices::notice(const std::vector<Loss> &losses, const std::vector<std::uint64_t> &cleared) const
{
    const SteadyTime now = this->clock.now();
    SuspectNotice message{this->self, {}, cleared};
    for (const Loss &loss : losses) {
        // A repeated notice does not report a request that has succeeded in the meantime.
        if (this->requestQuarantine.status(loss.request) != QuarantineStatus::Clear) {
            message.suspects.push_back({loss.request.value(),
                                        loss.point.endpoint,
                                        loss.point.failureDomain,
                                        millisecondsSince(loss.point.sent, now),
                                        millisecondsSince(loss.point.seen, now)});
        }
    }
    return message;
}

void SuspectNotices::receive(const SuspectNotice &notice)
{
    const SteadyTime now = this->clock.now();
    for (const Suspect &suspect : notice.suspects) {
        this->requestQuarantine.recordLoss(ContentFingerprint(suspect.fingerprint),
                                           {suspect.endpoint,
                                            suspect.failureDomain,
                                            now - std::chrono::milliseconds(suspect.sentMillisecondsAgo),
                                            now - std::chrono::milliseconds(suspect.lostMillisecondsAgo)});
    }
    for (const std::uint64_t cleared : notice.cleared) {
        this->requestQuarantine.recordSuccess(ContentFingerprint(cleared));
    }
}

} // namespace Dogwoodkeel
