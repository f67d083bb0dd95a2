#include <LibProxy/MessageReader.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <rapidcheck.h>

#include <memory>

using namespace Dogwoodkeel;

namespace
{

struct FreeBuffer
{
    void operator()(evbuffer *buffer) const
    {
        evbuffer_free(buffer);
    }
};

using Buffer = std::unique_ptr<evbuffer, FreeBuffer>;

Buffer bufferOf(std::string_view text)
{
    Buffer buffer(evbuffer_new());
    evbuffer_add(buffer.get(), text.data(), text.size());
    return buffer;
}

std::string remainderOf(const Buffer &buffer)
{
    std::string text(evbuffer_get_length(buffer.get()), '\0');
    evbuffer_copyout(buffer.get(), text.data(), text.size());
    return text;
}

ReadProgress headOf(MessageReader::Kind kind, std::string_view text)
{
    MessageReader reader(kind, 4096);
    const Buffer buffer = bufferOf(text);
    return reader.readHead(buffer.get());
}

ReadProgress request(std::string_view headers)
{
    return headOf(MessageReader::Kind::Request, "POST /a HTTP/1.1\r\nHost: h\r\n" + std::string(headers) + "\r\n");
}

} // namespace

TEST_CASE("a request is read with its target and headers as they were sent, and no input after it is consumed")
{
    MessageReader reader(MessageReader::Kind::Request, 4096);
    const Buffer buffer = bufferOf(
        "POST /a%2Fb/../c?x=%20y&z HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a:  2 \r\nContent-Length: 3\r\n\r\nabcGET /next");
    REQUIRE(reader.readHead(buffer.get()) == ReadProgress::Done);
    CHECK(reader.head().method == "POST");
    CHECK(reader.head().target == "/a%2Fb/../c?x=%20y&z");
    CHECK(reader.head().headers.count("X-A") == 2);
    CHECK(reader.head().headers.fields()[2].value == "2");
    std::string body;
    REQUIRE(reader.readBody(buffer.get(), body) == ReadProgress::Done);
    CHECK(body == "abc");
    CHECK(remainderOf(buffer) == "GET /next");
}

// Request smuggling: with two lengths, or a length and chunks, two programs on the path can place the end of the body
// differently, and one parses the bytes in between as another request. Every such request must be rejected.
TEST_CASE("a request whose end is ambiguous is malformed")
{
    CHECK(request("Content-Length: 3\r\n") == ReadProgress::Done);
    CHECK(request("Content-Length: 3\r\nContent-Length: 3\r\n") == ReadProgress::Malformed);
    CHECK(request("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") == ReadProgress::Malformed);
    CHECK(request("Transfer-Encoding: gzip, chunked\r\n") == ReadProgress::Malformed);
    CHECK(request("Transfer-Encoding: identity\r\n") == ReadProgress::Malformed);
    CHECK(request("Content-Length: +3\r\n") == ReadProgress::Malformed);
    CHECK(request("Content-Length: 3, 3\r\n") == ReadProgress::Malformed);
    CHECK(request("Content-Length : 3\r\n") == ReadProgress::Malformed);
    CHECK(request("X: a\r\n Content-Length: 3\r\n") == ReadProgress::Malformed);
    CHECK(request("X: a\nContent-Length: 3\r\n") == ReadProgress::Malformed);
    CHECK(headOf(MessageReader::Kind::Request, "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n") == ReadProgress::Malformed);
    CHECK(headOf(MessageReader::Kind::Request, "GET /a HTTP/2.0\r\nHost: h\r\n\r\n") == ReadProgress::Malformed);
    CHECK(headOf(MessageReader::Kind::Request, "GET http://x/a HTTP/1.1\r\nHost: h\r\n\r\n") == ReadProgress::Malformed);
}

TEST_CASE("a head over the limit is rejected, complete or not")
{
    const std::string large = "GET /a HTTP/1.1\r\nX: " + std::string(5000, 'x');
    CHECK(headOf(MessageReader::Kind::Request, large) == ReadProgress::TooLarge);
    CHECK(headOf(MessageReader::Kind::Request, large + "\r\n\r\n") == ReadProgress::TooLarge);
}

TEST_CASE("chunks are joined, and a trailer or an invalid size makes the body malformed")
{
    const auto readAll = [](std::string_view chunks, std::string &body) {
        MessageReader reader(MessageReader::Kind::Response, 4096);
        const Buffer buffer = bufferOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(chunks));
        REQUIRE(reader.readHead(buffer.get()) == ReadProgress::Done);
        return reader.readBody(buffer.get(), body);
    };
    std::string body;
    CHECK(readAll("3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n", body) == ReadProgress::Done);
    CHECK(body == "abc0123456789");
    CHECK(readAll("3\r\nabc\r\n", body) == ReadProgress::NeedMore);
    CHECK(readAll("x\r\nabc\r\n", body) == ReadProgress::Malformed);
    CHECK(readAll("0\r\nX-Late: 1\r\n\r\n", body) == ReadProgress::Malformed);
}

// A replica in trouble sent an answer whose status was no status, and its caller got it as an answer.
TEST_CASE("a response whose status is not one of 100 to 599 is malformed")
{
    const auto response = [](std::string_view startLine) {
        return headOf(MessageReader::Kind::Response, std::string(startLine) + "\r\nContent-Length: 0\r\n\r\n");
    };
    for (const char *const status :
         {"000", "099", "600", "999", "20", "2", "2000", "2 0", "", " 200", "-200", "+20", "0x1", "20x"}) {
        CAPTURE(status);
        CHECK(response("HTTP/1.1 " + std::string(status)) == ReadProgress::Malformed);
        CHECK(response("HTTP/1.1 " + std::string(status) + " OK") == ReadProgress::Malformed);
    }
    CHECK(response("HTTP/1.1") == ReadProgress::Malformed);
    CHECK(response("HTTP/1.1 200") == ReadProgress::Done);
    CHECK(response("HTTP/1.1 200 ") == ReadProgress::Done);
    CHECK(response("HTTP/1.1 200 All right") == ReadProgress::Done);
    CHECK(response("HTTP/1.0 599 x") == ReadProgress::Done);
    CHECK(response("HTTP/1.1 100 Continue") == ReadProgress::Done);
}

TEST_CASE("a response without a length ends when its connection closes, and the connection is not reused")
{
    MessageReader reader(MessageReader::Kind::Response, 4096);
    const Buffer buffer = bufferOf("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc");
    REQUIRE(reader.readHead(buffer.get()) == ReadProgress::Done);
    CHECK(reader.head().framing == BodyFraming::UntilClose);
    CHECK_FALSE(reader.head().isPersistent);
    std::string body;
    CHECK(reader.readBody(buffer.get(), body) == ReadProgress::NeedMore);
    CHECK(body == "abc");
}

TEST_CASE("a message that arrives in any chunks is read as if it arrived at once")
{
    rc::check([] {
        const auto chunks = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
        std::string expected;
        std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (const std::string &chunk : chunks) {
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
            text += size + chunk + "\r\n";
            expected += chunk;
        }
        text += "0\r\n\r\nNEXT";
        MessageReader reader(MessageReader::Kind::Response, 4096);
        const Buffer buffer = bufferOf("");
        std::string body;
        bool hasHead = false;
        ReadProgress progress = ReadProgress::NeedMore;
        for (const char byte : text) {
            evbuffer_add(buffer.get(), &byte, 1);
            hasHead = hasHead || reader.readHead(buffer.get()) == ReadProgress::Done;
            if (hasHead && progress == ReadProgress::NeedMore) {
                progress = reader.readBody(buffer.get(), body);
            }
        }
        RC_ASSERT(progress == ReadProgress::Done);
        RC_ASSERT(body == expected);
        RC_ASSERT(remainderOf(buffer) == "NEXT");
    });
}

// An interim response (RFC 9110, section 15.2) makes the final response behind it count as malformed.
TEST_CASE("the final response is read behind interim responses")
{
    MessageReader reader(MessageReader::Kind::Response, 4096);
    const Buffer buffer = bufferOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
    for (const int status : {100, 103, 200}) {
        reader.reset();
        REQUIRE(reader.readHead(buffer.get()) == ReadProgress::Done);
        CHECK(reader.head().status == status);
    }
    CHECK(remainderOf(buffer) == "good");
}
