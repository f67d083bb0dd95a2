#pragma once

#include <LibBase/Address.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** A plain TCP connection to a server under test, for input that no HTTP client would send. All calls block. */
class RawConnection
{
public:
    /** @throws std::runtime_error if it cannot connect */
    explicit RawConnection(const Address &address);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /** @return whether all bytes were passed to the operating system. */
    bool send(std::string_view bytes);

    /** Shuts down the sending direction of the connection. */
    void endSending();

    /** @return all received bytes, once they contain the text or the server closed the connection. */
    std::string readUntil(std::string_view text);

    /** @return all bytes received until the server closed the connection. */
    std::string readAll();

    /** Discards the first received bytes. */
    void drop(std::size_t bytes);

    /** @return all bytes received and not dropped, once there are at least this many or the server closed the connection. */
    std::string readBytes(std::size_t bytes);

    /** @return whether the server closed the connection. */
    bool isClosed() const;

private:
    bool readMore();

    int descriptor;
    std::string received;
    bool closed = false;
};

} // namespace Dogwoodkeel
