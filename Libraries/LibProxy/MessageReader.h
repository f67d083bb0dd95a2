#pragma once

#include <LibProxy/HeaderList.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct evbuffer;
struct htparser;

namespace Dogwoodkeel
{

/** How the end of a message's body is found (RFC 9112, section 6.3). */
enum class BodyFraming {
    None,
    Length,
    Chunked,
    /** A response whose body ends with its connection. */
    UntilClose,
};

/** Start line and headers of a message. */
struct MessageHead
{
    /** Of a request. */
    std::string method;
    /** Of a request: path and query as they were sent. */
    std::string target;
    /** Of a response. */
    int status = 0;
    HeaderList headers;
    BodyFraming framing = BodyFraming::None;
    /** With BodyFraming::Length. */
    std::uint64_t length = 0;
    /** Whether the connection may carry another message after this one. */
    bool isPersistent = true;
};

/** What came of reading. */
enum class ReadProgress {
    /** All that has arrived was taken; more has to come. */
    NeedMore,
    Done,
    /** The bytes are no message, or it is not clear where it ends. */
    Malformed,
    /** The head is larger than allowed. */
    TooLarge,
};

/**
 * Reads HTTP/1.1 messages out of a connection's buffer, by libevhtp's parser. It is strict: a message whose end the two
 * sides could see at different places is malformed, because the bytes in doubt would be taken for another message. It
 * never takes a byte behind the message's end.
 */
class MessageReader
{
public:
    enum class Kind {
        Request,
        Response,
    };

    /** @param headBytes largest head taken */
    MessageReader(Kind kind, std::size_t headBytes);
    ~MessageReader();
    MessageReader(const MessageReader &) = delete;
    MessageReader &operator=(const MessageReader &) = delete;

    /** Begin with the next message. */
    void reset();

    /** Take the head. @return Done once it is complete; head() tells it */
    ReadProgress readHead(evbuffer *input);

    /** Take what has come of the body. @param data what was taken is appended */
    ReadProgress readBody(evbuffer *input, std::string &data);

    const MessageHead &head() const;

private:
    ReadProgress parseHead(const std::string &text);
    bool parseStartLine(std::string_view line);
    bool findFraming(bool isHttp10);
    ReadProgress readChunks(evbuffer *input, std::string &data);

    struct Free
    {
        void operator()(htparser *parser) const;
    };

    Kind kind;
    std::size_t headBytes;
    std::unique_ptr<htparser, Free> parser;
    MessageHead current;
    std::uint64_t remaining = 0;
};

} // namespace Dogwoodkeel
