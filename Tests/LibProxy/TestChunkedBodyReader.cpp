#include <LibProxy/ChunkedBodyReader.h>

#include <doctest/doctest.h>

#include <cctype>
#include <string>
#include <string_view>

using namespace Dogwoodkeel;
using Progress = ChunkedBodyReader::Progress;

namespace
{

/** @return the outcome of reading a text byte by byte. */
Progress readBytes(std::string_view text, std::string &data)
{
    ChunkedBodyReader reader;
    Progress progress = Progress::NeedMore;
    for (std::size_t position = 0; position < text.size() && progress == Progress::NeedMore; ++position) {
        progress = reader.read(text.substr(position, 1), data);
    }
    return progress;
}

Progress outcomeOf(std::string_view text)
{
    std::string whole;
    std::string pieces;
    ChunkedBodyReader reader;
    const Progress progress = reader.read(text, whole);
    CHECK(readBytes(text, pieces) == progress);
    CHECK(whole == pieces);
    return progress;
}

} // namespace

TEST_CASE("chunks are joined, and what follows the body is left")
{
    const std::string body = "3\r\nabc\r\n0A;name=value\r\n0123456789\r\n0\r\n\r\n";
    ChunkedBodyReader reader;
    std::string data;
    CHECK(reader.read(body + "HTTP/1.1", data) == Progress::Done);
    CHECK(data == "abc0123456789");
    CHECK(reader.consumed() == body.size());
    reader.reset();
    CHECK(reader.read("1\r\nx\r\n", data) == Progress::NeedMore);
}

// Request smuggling: where `char` is unsigned, libevhtp's parser takes any character for a digit of a size.
TEST_CASE("only hexadecimal digits make up the size of a chunk")
{
    for (int code = 0; code < 256; ++code) {
        const char character = static_cast<char>(code);
        const bool isDigit = std::isxdigit(code) != 0;
        CAPTURE(code);
        CHECK((outcomeOf(std::string(1, character) + "\r\n") == Progress::Malformed) != isDigit);
    }
    CHECK(outcomeOf("-1\r\nx\r\n") == Progress::Malformed);
    CHECK(outcomeOf("0x1\r\nx\r\n") == Progress::Malformed);
    CHECK(outcomeOf("\r\nx\r\n") == Progress::Malformed);
    CHECK(outcomeOf("11111111111111111\r\nx\r\n") == Progress::Malformed);
}

TEST_CASE("line ends and trailers that implementations read differently are malformed")
{
    CHECK(outcomeOf("1\nx\r\n0\r\n\r\n") == Progress::Malformed);
    CHECK(outcomeOf("1\rx\r\n0\r\n\r\n") == Progress::Malformed);
    CHECK(outcomeOf("1;a\nx\r\n0\r\n\r\n") == Progress::Malformed);
    CHECK(outcomeOf("1\r\nxy\r\n0\r\n\r\n") == Progress::Malformed);
    CHECK(outcomeOf("1\r\nx\n0\r\n\r\n") == Progress::Malformed);
    CHECK(outcomeOf("0\r\nX-Late: 1\r\n\r\n") == Progress::Malformed);
    CHECK(outcomeOf("0\r\n\r\n") == Progress::Done);
    CHECK(outcomeOf("0\r\n\r") == Progress::NeedMore);
}
