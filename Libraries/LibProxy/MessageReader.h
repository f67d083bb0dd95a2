#pragma once

#include <LibProxy/ChunkedBodyReader.h>
#include <LibProxy/HeaderList.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct evbuffer;
struct htparser;

namespace Dogwoodkeel
{

/** How the end of a message body is determined (RFC 9112, section 6.3). */
enum class BodyFraming {
    None,
    Length,
    Chunked,
    /** The body of a response ends when the connection closes. */
    UntilClose,
};

/** @return the name of a framing for logs. */
std::string_view nameOf(BodyFraming framing);

/** Start line and headers of a message. */
struct MessageHead
{
    /** Requests only. */
    std::string method;
    /** Requests only: path and query as sent. */
    std::string target;
    /** Responses only. */
    int status = 0;
    HeaderList headers;
    BodyFraming framing = BodyFraming::None;
    /** Only with BodyFraming::Length. */
    std::uint64_t length = 0;
    /** Whether the connection may carry another message after this one. */
    bool isPersistent = true;
};

/** Result of a read. */
enum class ReadProgress {
    /** More input is required. */
    NeedMore,
    Done,
    /** The input is not a valid message, or the end of the message is ambiguous. */
    Malformed,
    /** The head exceeds the maximum size. */
    TooLarge,
};

/**
 * Reads HTTP/1.1 messages from a connection's buffer, with libevhtp's parser. Rejects a message whose end the two sides could
 * place differently, because one side would parse the bytes in between as another message (request smuggling). Never
 * consumes input beyond the end of the message.
 */
class MessageReader
{
public:
    enum class Kind {
        Request,
        Response,
    };

    /** @param headBytes maximum size of a head */
    MessageReader(Kind kind, std::size_t headBytes);
    ~MessageReader();
    MessageReader(const MessageReader &) = delete;
    MessageReader &operator=(const MessageReader &) = delete;

    /** Prepares for the next message. */
    void reset();

    /** Reads the head. @return Done once it is complete and available from head() */
    ReadProgress readHead(evbuffer *input);

    /** Reads the available part of the body. @param data the part is appended to it */
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
    ChunkedBodyReader chunks;
    MessageHead current;
    std::uint64_t remaining = 0;
};

} // namespace Dogwoodkeel
