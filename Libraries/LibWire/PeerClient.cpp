#include <LibWire/PeerClient.h>

#include <LibBase/Log.h>
#include <LibTask/EventLoop.h>
#include <LibWire/Generated/Messages.h>

#include <mutex>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How often the timeout of a call is extended. Bounds how long a node can hold it by sending slowly. */
constexpr int maxExtensions = 10;
/** Maximum consecutive checks without new bytes; each sends a probe. The next such check closes the connection. */
constexpr int maxIdleChecks = 2;

} // namespace

/** Passes responses of a server in this process to the client's loop until the client is destroyed. */
class PeerClient::LocalResponses : public std::enable_shared_from_this<LocalResponses>
{
public:
    explicit LocalResponses(EventLoop &loop) : loop(&loop)
    {
    }

    /** May be called from any thread. */
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

    /** Called when the client is destroyed: later responses are dropped. */
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
    , localResponses(std::make_shared<LocalResponses>(loop))
    , traffic(traffic)
{
}

PeerClient::~PeerClient()
{
    this->localResponses->close();
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
    this->calls.emplace(correlation, Call{.address = address, .finish = std::move(finish), .timeout = timeout});
    this->watchTimeout(correlation);
    if (this->local && this->local->address == address) {
        this->callLocal(correlation, number, std::move(payload));
        return;
    }
    Link &link = this->linkTo(address);
    link.calls.insert(correlation);
    countFrame(this->traffic, number, TrafficMeter::Direction::Sent, payload);
    link.connection->send({correlation, number, std::move(payload)});
    if (link.timer == 0) {
        link.bytesAtLastCheck = link.connection->bytesReceived();
        link.idleChecks = 0;
        this->scheduleCheck(address, link);
    }
}

void PeerClient::callLocal(Correlation correlation, MessageNumber number, std::string payload)
{
    this->local->call(number,
                      std::move(payload),
                      [this, correlation, responses = this->localResponses](MessageNumber answer, std::string response) {
                          responses->post([this, frame = Frame{correlation, answer, std::move(response)}] {
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
                [this, address](const Frame &frame) {
                    this->countAnswer(address, frame);
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

void PeerClient::scheduleCheck(const Address &address, Link &link)
{
    link.timer = this->loop.schedule(this->security.heartbeat, [this, address] {
        this->checkLink(address);
    });
}

void PeerClient::checkLink(const Address &address)
{
    Link &link = this->links.at(address);
    link.timer = 0;
    if (link.calls.empty()) {
        return;
    }
    const std::uint64_t bytes = link.connection->bytesReceived();
    link.idleChecks = bytes == std::exchange(link.bytesAtLastCheck, bytes) ? link.idleChecks + 1 : 0;
    if (link.idleChecks > maxIdleChecks) {
        // A device between the two ends may have dropped the state of this connection, so that it stays unresponsive
        // while new connections work. A call with a long timeout would wait until that ends. The calls are not resent:
        // they end with an unknown outcome, and the next call opens a new connection.
        this->onClosed(address);
        return;
    }
    if (link.idleChecks > 0) {
        link.connection->send({0, LinkProbe::number, encode(LinkProbe{++link.probes})});
    }
    this->scheduleCheck(address, link);
}

void PeerClient::countAnswer(const Address &from, const Frame &frame)
{
    const bool isLate = frame.number != LinkProbe::number && !this->calls.contains(frame.correlation);
    if (!isLate) {
        countFrame(this->traffic, frame.number, TrafficMeter::Direction::Received, frame.payload);
        return;
    }
    countLateAnswer(this->traffic, frame.number, frame.payload);
    log(LogLevel::Info,
        "answer of another node arrived after its timeout",
        {{"from", from.toString()},
         {"message", std::string(messageName(frame.number))},
         {"bytes", static_cast<std::int64_t>(frame.payload.size())}});
}

void PeerClient::receive(const Frame &frame)
{
    // A response whose call has timed out is dropped: its correlation is never reused for another call.
    this->finish(frame.correlation, CallOutcome::Answered, frame);
}

void PeerClient::watchTimeout(Correlation correlation)
{
    Call &call = this->calls.at(correlation);
    const PeerLink *const connection = this->connectionOf(call);
    call.bytesAtStart = connection != nullptr ? connection->bytesReceived() : 0;
    call.timer = this->loop.schedule(call.timeout, [this, correlation] {
        this->onTimeout(correlation);
    });
}

const PeerLink *PeerClient::connectionOf(const Call &call) const
{
    const auto link = this->links.find(call.address);
    return link != this->links.end() ? link->second.connection.get() : nullptr;
}

void PeerClient::onTimeout(Correlation correlation)
{
    Call &call = this->calls.at(correlation);
    const PeerLink *const connection = this->connectionOf(call);
    const bool isArriving
        = connection != nullptr && connection->isReceivingFrame() && connection->bytesReceived() > call.bytesAtStart;
    if (isArriving && ++call.extensions <= maxExtensions) {
        this->watchTimeout(correlation);
        return;
    }
    // Ends this call only: a slow response to one call does not mean that the connection is unresponsive. The periodic
    // checks detect that.
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
