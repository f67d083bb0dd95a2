#include <LibWire/PeerClient.h>

#include <LibTask/EventLoop.h>
#include <LibWire/Generated/Messages.h>

#include <mutex>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Looks that may find a connection silent, with a probe after the first of them, before it is closed. */
constexpr int silentLooksMost = 2;

} // namespace

/** Takes responses of a server in this process back to the client's loop, as long as the client is there. */
class PeerClient::LocalReturn : public std::enable_shared_from_this<LocalReturn>
{
public:
    explicit LocalReturn(EventLoop &loop) : loop(&loop)
    {
    }

    /** From any thread. */
    void post(std::function<void()> action)
    {
        const std::lock_guard lock(this->mutex);
        if (this->loop != nullptr) {
            this->loop->post([self = this->shared_from_this(), action = std::move(action)] {
                if (self->isOpen()) {
                    action();
                }
            });
        }
    }

    /** The client ends: responses that come later are dropped. */
    void close()
    {
        const std::lock_guard lock(this->mutex);
        this->loop = nullptr;
    }

private:
    bool isOpen()
    {
        const std::lock_guard lock(this->mutex);
        return this->loop != nullptr;
    }

    std::mutex mutex;
    EventLoop *loop;
};

PeerClient::PeerClient(EventLoop &loop, PeerSecurity security, std::optional<LocalPeer> local, TrafficMeter *traffic)
    : loop(loop)
    , security(std::move(security))
    , local(std::move(local))
    , localReturn(std::make_shared<LocalReturn>(loop))
    , traffic(traffic)
{
}

PeerClient::~PeerClient()
{
    this->localReturn->close();
    for (const auto &[correlation, call] : this->calls) {
        this->loop.cancel(call.timer);
    }
    for (const auto &[address, link] : this->links) {
        this->loop.cancel(link.timer);
    }
}

void PeerClient::callEncoded(
    const Address &address, MessageNumber number, std::string payload, std::chrono::milliseconds timeout, Finish finish)
{
    const Correlation correlation = ++this->lastCorrelation;
    const TimerId timer = this->loop.schedule(timeout, [this, correlation] {
        this->onTimeout(correlation);
    });
    this->calls.emplace(correlation, Call{address, std::move(finish), timer});
    if (this->local && this->local->address == address) {
        this->callLocal(correlation, number, std::move(payload));
        return;
    }
    Link &link = this->linkTo(address);
    link.calls.insert(correlation);
    countFrame(this->traffic, number, TrafficMeter::Direction::Sent, payload);
    link.connection->send({correlation, number, std::move(payload)});
    if (link.timer == 0) {
        link.bytesSeen = link.connection->bytesReceived();
        link.silentLooks = 0;
        this->armLook(address, link);
    }
}

void PeerClient::callLocal(Correlation correlation, MessageNumber number, std::string payload)
{
    this->local->call(
        number, std::move(payload), [this, correlation, back = this->localReturn](MessageNumber answer, std::string response) {
            back->post([this, frame = Frame{correlation, answer, std::move(response)}] {
                this->receive(frame);
            });
        });
}

PeerClient::Link &PeerClient::linkTo(const Address &address)
{
    Link &link = this->links[address];
    if (!link.connection) {
        PeerLink::Hooks hooks{
            .onFrame =
                [this](const Frame &frame) {
                    countFrame(this->traffic, frame.number, TrafficMeter::Direction::Received, frame.payload);
                    this->receive(frame);
                },
            .onClosed =
                [this, address] {
                    this->onClosed(address);
                },
        };
        link.connection = PeerLink::connect(this->loop, address, this->security, std::move(hooks));
    }
    return link;
}

void PeerClient::armLook(const Address &address, Link &link)
{
    link.timer = this->loop.schedule(this->security.heartbeat, [this, address] {
        this->lookAt(address);
    });
}

void PeerClient::lookAt(const Address &address)
{
    Link &link = this->links.at(address);
    link.timer = 0;
    if (link.calls.empty()) {
        return;
    }
    const std::uint64_t bytes = link.connection->bytesReceived();
    link.silentLooks = bytes == std::exchange(link.bytesSeen, bytes) ? link.silentLooks + 1 : 0;
    if (link.silentLooks > silentLooksMost) {
        // The connection has gone silent for good while new ones work: something between the two ends has lost track of
        // it. A call that waits long for its answer would wait on it until its own timeout. The calls are not resent,
        // they end with an unknown outcome, and the next call makes a new connection.
        this->onClosed(address);
        return;
    }
    if (link.silentLooks > 0) {
        link.connection->send({0, LinkProbe::number, encode(LinkProbe{++link.probes})});
    }
    this->armLook(address, link);
}

void PeerClient::receive(const Frame &frame)
{
    // A response whose call has timed out finds no call and is dropped: it can never reach another call.
    this->finish(frame.correlation, CallOutcome::Answered, frame);
}

void PeerClient::onTimeout(Correlation correlation)
{
    // Only this call: whether the connection is silent is found by looking at it, and a slow answer to one call says
    // nothing of the others.
    this->finish(correlation, CallOutcome::Unknown, {});
}

void PeerClient::onClosed(const Address &address)
{
    const auto found = this->links.find(address);
    if (found == this->links.end()) {
        return;
    }
    const std::shared_ptr<PeerLink> connection = std::move(found->second.connection);
    const std::unordered_set<Correlation> lost = std::move(found->second.calls);
    this->loop.cancel(found->second.timer);
    this->links.erase(found);
    const CallOutcome outcome = connection->wasOpen() ? CallOutcome::Unknown : CallOutcome::NotSent;
    for (const Correlation correlation : lost) {
        this->finish(correlation, outcome, {});
    }
    this->loop.post([connection] {});
}

void PeerClient::finish(Correlation correlation, CallOutcome outcome, const Frame &frame)
{
    auto call = this->calls.extract(correlation);
    if (call.empty()) {
        return;
    }
    this->loop.cancel(call.mapped().timer);
    const auto link = this->links.find(call.mapped().address);
    if (link != this->links.end()) {
        link->second.calls.erase(correlation);
    }
    call.mapped().finish(outcome, frame);
}

} // namespace Dogwoodkeel
