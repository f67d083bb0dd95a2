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

/** Parameters of a connection between nodes; both ends must use the same. */
struct PeerSecurity
{
    MessageKey siteKey;
    /** Maximum length of a frame, in bytes. */
    std::size_t frameBytes = 0;
    /**
     * Interval at which a connection with queuedFrames calls is checked for new bytes. If there are none, it is
     * probed; at the third consecutive check without new bytes it is closed. A connection without calls is not checked, so
     * that it costs nothing.
     */
    std::chrono::milliseconds heartbeat{1000};
};

/**
 * A connection between two nodes that carries frames. Each end first sends a random number; the keys of both
 * directions are derived from the site key and both numbers.
 */
class PeerLink
{
public:
    /** Callbacks to the owner of the link. None is called after onClosed; the link may be destroyed after that returns. */
    struct Hooks
    {
        std::function<void(Frame)> onFrame;
        std::function<void()> onClosed;
    };

    /**
     * Connects to a node.
     * @return a link that accepts frames immediately: they are sent when the connection is established
     */
    static std::unique_ptr<PeerLink> connect(EventLoop &loop, const Address &address, PeerSecurity security, Hooks hooks);

    /** @param descriptor an accepted connection; the link takes ownership */
    static std::unique_ptr<PeerLink> accept(EventLoop &loop, int descriptor, PeerSecurity security, Hooks hooks);

    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    void send(const Frame &frame);

    /** @return bytes received from the other end; a connection is alive while this count grows. */
    std::uint64_t bytesReceived() const;

    /** @return whether a frame has begun to arrive; later ones follow it. */
    bool isReceivingFrame() const;

    /** @return whether the connection was established; no frame is sent before that. */
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
    bool receiveNonce();
    void close();

    Side side;
    PeerSecurity security;
    Hooks hooks;
    bufferevent *stream = nullptr;
    std::string ownNonce;
    std::optional<FrameWriter> writer;
    std::optional<FrameReader> reader;
    std::vector<Frame> queuedFrames;
    std::uint64_t received = 0;
    bool opened = false;
    bool closed = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
