#pragma once

#include <LibBase/Log.h>
#include <LibWire/Codec.h>
#include <LibWire/FrameTraffic.h>
#include <LibWire/PeerLink.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace Dogwoodkeel
{

class EventLoop;

/** Accepts the requests of other nodes. Used from one event loop only. */
class PeerServer
{
public:
    template <typename Response>
    using Respond = std::function<void(const Response &)>;

    /**
     * @param address where to listen; port 0 selects a free port
     * @param traffic counts sent and received frames, if set
     * @throws std::runtime_error if it cannot listen there
     */
    PeerServer(EventLoop &loop, const Address &address, PeerSecurity security, TrafficMeter *traffic = nullptr);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** @return the address at which it listens. */
    const Address &address() const;

    /**
     * Registers the handler of one type of request. The response may be sent later; it is dropped if the connection is closed
     * by then.
     * @param handler receives the request and the function that sends its response
     */
    template <typename Request>
    void handle(std::function<void(const Request &, Respond<typename Request::Response>)> handler)
    {
        this->handlers[Request::number] = [handler = std::move(handler)](const std::string &payload, const SendPayload &send) {
            const auto request = decode<Request>(payload);
            if (!request) {
                return false;
            }
            handler(*request, [send](const typename Request::Response &response) {
                send(Request::Response::number, encode(response));
            });
            return true;
        };
    }

    /** Sends the response to one request. */
    using SendPayload = std::function<void(MessageNumber, std::string)>;

    /**
     * Answers a request of a task of this process. Must be called on the loop.
     * @return whether the request has a handler and is well formed
     */
    bool answer(MessageNumber number, const std::string &payload, const SendPayload &send) const;

private:
    using Handler = std::function<bool(const std::string &, const SendPayload &)>;
    using LinkId = std::uint64_t;

    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *from, int length, void *self);
    void accept(int descriptor);
    void receive(LinkId id, const Frame &frame);
    void drop(LinkId id);

    EventLoop &loop;
    PeerSecurity security;
    TrafficMeter *traffic;
    Address listenAddress;
    evconnlistener *listener = nullptr;
    std::map<MessageNumber, Handler> handlers;
    LinkId lastLink = 0;
    std::map<LinkId, std::unique_ptr<PeerLink>> links;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
