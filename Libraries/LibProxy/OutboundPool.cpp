#include <LibProxy/OutboundPool.h>

#include <LibProxy/OutboundConnection.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** How often expired idle connections are closed. */
constexpr std::chrono::milliseconds sweepInterval{1000};
/** How often the timeout of a response that is arriving is extended. Bounds how long a server can hold a call by sending slowly.
 */
constexpr int maxExtensions = 10;

} // namespace

OutboundPool::OutboundPool(EventLoop &loop,
                           const Clock &clock,
                           std::size_t idlePerAddress,
                           std::function<void(const CutResponse &)> onCut)
    : loop(loop), clock(clock), idlePerAddress(idlePerAddress), onCut(std::move(onCut))
{
    this->sweep();
}

OutboundPool::~OutboundPool()
{
    *this->alive = false;
    this->loop.cancel(this->sweepTimer);
}

OutboundPool::CallId OutboundPool::start(OutboundCall call, CallHooks hooks)
{
    const CallId id = ++this->lastCall;
    std::unique_ptr<OutboundConnection> connection = this->acquireIdle(call);
    if (!connection) {
        connection = std::make_unique<OutboundConnection>(*this, call.address);
        ++this->made;
    }
    OutboundConnection &used = *connection;
    this->active.emplace(id, std::move(connection));
    used.begin(id, std::move(call), std::move(hooks));
    return id;
}

struct OutboundPool::PendingFetch
{
    CallId id = 0;
    FetchTimeouts timeouts;
    CollectedResponse response;
    TimerId timer = 0;
    /** Whether a part of the response has arrived since the timer was set. */
    bool hasProgress = false;
    int extensions = 0;
    std::function<void(CollectedResponse)> done;
    std::function<void()> progressed;

    void recordProgress()
    {
        this->hasProgress = true;
        if (this->progressed) {
            this->progressed();
        }
    }
};

OutboundPool::CallId OutboundPool::fetch(OutboundCall call,
                                         const FetchTimeouts &timeouts,
                                         std::function<void(CollectedResponse)> done,
                                         std::function<void()> progressed)
{
    const auto pending = std::make_shared<PendingFetch>();
    pending->timeouts = timeouts;
    pending->done = std::move(done);
    pending->progressed = std::move(progressed);
    CallHooks hooks{
        .onHead =
            [pending](const MessageHead &head) {
                pending->response.head = head;
                pending->recordProgress();
            },
        .onBody =
            [pending](std::string_view data) {
                pending->response.body.append(data);
                pending->recordProgress();
            },
        .onEnd =
            [this, pending](CallEnd end) {
                this->loop.cancel(pending->timer);
                pending->response.end = end;
                pending->done(std::move(pending->response));
            },
    };
    pending->id = this->start(std::move(call), std::move(hooks));
    this->watchFetch(pending, timeouts.response);
    return pending->id;
}

OutboundPool::CallId
OutboundPool::fetch(OutboundCall call, std::chrono::milliseconds timeout, std::function<void(CollectedResponse)> done)
{
    return this->fetch(std::move(call), FetchTimeouts{timeout, timeout}, std::move(done));
}

void OutboundPool::watchFetch(const std::shared_ptr<PendingFetch> &fetch, std::chrono::milliseconds timeout)
{
    fetch->timer = this->loop.schedule(timeout, [this, fetch] {
        if (std::exchange(fetch->hasProgress, false) && ++fetch->extensions <= maxExtensions) {
            this->watchFetch(fetch, fetch->timeouts.silence);
            return;
        }
        this->cancel(fetch->id);
        fetch->done(CollectedResponse{});
    });
}

void OutboundPool::cancel(CallId id)
{
    const auto found = this->active.find(id);
    if (found == this->active.end()) {
        return;
    }
    std::unique_ptr<OutboundConnection> connection = std::move(found->second);
    this->active.erase(found);
    connection->detachCall();
    this->freeLater(std::move(connection));
}

void OutboundPool::setReading(CallId id, bool isReading)
{
    if (const auto found = this->active.find(id); found != this->active.end()) {
        found->second->setReading(isReading);
    }
}

std::size_t OutboundPool::openCalls() const
{
    return this->active.size();
}

std::uint64_t OutboundPool::connectionsMade() const
{
    return this->made;
}

std::vector<Address> OutboundPool::connectedAddresses(std::chrono::milliseconds maxIdleTime) const
{
    std::vector<Address> connected;
    for (const auto &[address, connections] : this->idle) {
        if (this->isUsable(*connections.back(), maxIdleTime)) {
            connected.push_back(address);
        }
    }
    return connected;
}

bool OutboundPool::isUsable(const OutboundConnection &idle, std::chrono::milliseconds maxIdleTime) const
{
    const SteadyTime now = this->clock.now();
    return now < idle.keptUntil() && now - idle.idleSince() <= maxIdleTime;
}

std::unique_ptr<OutboundConnection> OutboundPool::acquireIdle(const OutboundCall &call)
{
    const auto found = this->idle.find(call.address);
    if (found == this->idle.end() || call.maxIdleTime.count() == 0) {
        return nullptr;
    }
    // The most recently used connection has the shortest idle time.
    Connections &connections = found->second;
    if (!this->isUsable(*connections.back(), call.maxIdleTime)) {
        return nullptr;
    }
    std::unique_ptr<OutboundConnection> acquired = std::move(connections.back());
    connections.pop_back();
    if (connections.empty()) {
        this->idle.erase(found);
    }
    return acquired;
}

void OutboundPool::finished(CallId id, bool isReusable)
{
    const auto found = this->active.find(id);
    if (found == this->active.end()) {
        return;
    }
    std::unique_ptr<OutboundConnection> connection = std::move(found->second);
    this->active.erase(found);
    if (!isReusable) {
        this->freeLater(std::move(connection));
        return;
    }
    Connections &connections = this->idle[connection->address()];
    connections.push_back(std::move(connection));
    if (connections.size() > this->idlePerAddress) {
        this->freeLater(std::move(connections.front()));
        connections.pop_front();
    }
}

void OutboundPool::freeLater(std::unique_ptr<OutboundConnection> connection)
{
    // The connection may be executing one of its own callbacks.
    this->released.push_back(std::move(connection));
    if (this->released.size() == 1) {
        this->loop.post([this, alive = this->alive] {
            if (*alive) {
                this->released.clear();
            }
        });
    }
}

void OutboundPool::closeIdle(const Address &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return;
    }
    for (std::unique_ptr<OutboundConnection> &connection : found->second) {
        this->freeLater(std::move(connection));
    }
    this->idle.erase(found);
}

void OutboundPool::closeIdle(const OutboundConnection &connection)
{
    const auto found = this->idle.find(connection.address());
    if (found == this->idle.end()) {
        return;
    }
    const auto position = std::ranges::find(found->second, &connection, &std::unique_ptr<OutboundConnection>::get);
    if (position != found->second.end()) {
        this->freeLater(std::move(*position));
        found->second.erase(position);
    }
    if (found->second.empty()) {
        this->idle.erase(found);
    }
}

void OutboundPool::sweep()
{
    const SteadyTime now = this->clock.now();
    for (auto &[address, connections] : this->idle) {
        while (!connections.empty() && now >= connections.front()->keptUntil()) {
            this->freeLater(std::move(connections.front()));
            connections.pop_front();
        }
    }
    std::erase_if(this->idle, [](const auto &entry) {
        return entry.second.empty();
    });
    this->sweepTimer = this->loop.schedule(sweepInterval, [this] {
        this->sweep();
    });
}

} // namespace Dogwoodkeel
