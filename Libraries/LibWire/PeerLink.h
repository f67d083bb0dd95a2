#pragma once

#include <LibBase/Address.h>
#include <LibWire/FrameCodec.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;

namespace Dogwoodkeel
{

class EventLoop;

/** What both ends of a connection between nodes have to agree on. */
struct PeerSecurity
{
    MessageKey siteKey;
    /** Largest frame taken, in bytes. */
    std::size_t frameBytes = 0;
    /**
     * While calls wait on a connection, how often it is looked whether anything came; then it is probed, and closed if
     * nothing came by the next look. So a silent one is found within three of these. Without calls it costs nothing.
     */
    std::chrono::milliseconds heartbeat{1000};
};

/**
 * A connection between two nodes that carries frames. Each end first sends a random number; the keys of both
 * directions are made from the site key and both numbers.
 */
class PeerLink
{
public:
    /** What the link tells its owner. After onClosed it tells nothing more and may be destroyed later. */
    struct Hooks
    {
        std::function<void(Frame)> onFrame;
        std::function<void()> onClosed;
    };

    /**
     * Connect to a node.
     * @return a link on which frames can be sent at once: they go out when the connection stands
     */
    static std::unique_ptr<PeerLink> connect(EventLoop &loop, const Address &address, PeerSecurity security, Hooks hooks);

    /** @param descriptor an accepted connection, owned by the link from now on */
    static std::unique_ptr<PeerLink> accept(EventLoop &loop, int descriptor, PeerSecurity security, Hooks hooks);

    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    void send(const Frame &frame);

    /** @return bytes that have come from the other end: a connection on which they grow is alive. */
    std::uint64_t bytesReceived() const;

    /** @return whether the connection stood: before that, no frame has left. */
    bool wasOpen() const;

private:
    enum class Side {
        Client,
        Server,
    };

    PeerLink(Side side, PeerSecurity security, Hooks hooks);

    static void onRead(bufferevent *event, void *self);
    static void onEvent(bufferevent *event, short what, void *self);
    void start(bufferevent *event);
    void receive();
    bool takeGreeting();
    void close();

    Side side;
    PeerSecurity security;
    Hooks hooks;
    bufferevent *stream = nullptr;
    std::string ownNonce;
    std::optional<FrameWriter> writer;
    std::optional<FrameReader> reader;
    std::vector<Frame> waiting;
    std::uint64_t received = 0;
    bool opened = false;
    bool closed = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
