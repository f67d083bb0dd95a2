#pragma once

#include <LibBase/Address.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace Dogwoodkeel
{

/** Stands between a process and what it connects to, and does to the connections what a bad network does. */
class FaultProxy
{
public:
    /** What becomes of bytes. */
    enum class Mode {
        Pass,
        /** They come later. */
        Delay,
        /** Connections are reset, now and when they are made. */
        Reset,
        /** What the client sends is lost; what the server sends arrives. */
        OneWay,
        /** Nothing arrives, and nobody is told. */
        Silent,
    };

    FaultProxy(EventLoop &loop, const Address &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** @return where to connect instead. */
    const Address &address() const;

    /** @param delay of each part, with Delay */
    void setMode(Mode mode, std::chrono::milliseconds delay = std::chrono::milliseconds(0));

    /** The process behind it ends: connections are reset, and new ones refused. */
    void stop();

    /** It is there again, at the same address if that is free. */
    void resume();

    /** Bring answers to requests that name this text in their first line so much later. @param text none if empty */
    void holdBack(const std::string &text, std::chrono::milliseconds delay);

private:
    class Link;

    bool listen(const Address &at);
    void resetLinks();
    static void onAccept(evconnlistener *listener, int descriptor, sockaddr *from, int size, void *self);

    EventLoop &loop;
    Address target;
    Address own;
    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay{0};
    std::string heldText;
    std::chrono::milliseconds holdTime{0};
    evconnlistener *listener = nullptr;
    std::set<std::shared_ptr<Link>> links;
};

} // namespace Dogwoodkeel
