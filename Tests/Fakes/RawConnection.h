#pragma once

#include <LibBase/Address.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** A plain TCP connection to a server under test, for input that no HTTP client would send. Blocks its thread. */
class RawConnection
{
public:
    /** @throws std::runtime_error if it cannot connect */
    explicit RawConnection(const Address &address);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /** @return whether all of it was taken by the system. */
    bool send(std::string_view bytes);

    /** Tell the server that nothing more comes. */
    void endSending();

    /** @return all that was received once the text has come, or the server closed the connection. */
    std::string readUntil(std::string_view text);

    /** @return all that was received until the server closed the connection. */
    std::string readAll();

    /** Forget the first bytes of what was received. */
    void drop(std::size_t bytes);

    /** @return all that was received and not dropped, once it is that much, or the server closed the connection. */
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
