#include <LibWire/FrameCodec.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t limit = 65536;

Frame frameOf(std::uint64_t correlation, std::string payload)
{
    return {correlation, MessageNumber(7), std::move(payload)};
}

} // namespace

TEST_CASE("decoded frames equal the encoded ones, however the bytes are split")
{
    CHECK(rc::check([](const std::vector<std::string> &payloads, std::uint8_t splitSize) {
        FrameWriter writer(MessageKey("key"));
        FrameReader reader(MessageKey("key"), limit);
        std::string bytes;
        std::vector<Frame> sent;
        for (const std::string &payload : payloads) {
            sent.push_back(frameOf(sent.size(), payload));
            bytes += writer.write(sent.back());
        }
        std::vector<Frame> received;
        const std::size_t step = splitSize + 1;
        for (std::size_t offset = 0; offset < bytes.size(); offset += step) {
            reader.feed(std::string_view(bytes).substr(offset, step));
            while (auto frame = reader.next()) {
                received.push_back(*frame);
            }
        }
        RC_ASSERT(received == sent);
        RC_ASSERT(!reader.isBroken());
    }));
}

TEST_CASE("a frame with a changed byte is rejected")
{
    CHECK(rc::check([](const std::string &payload, std::size_t position, std::uint8_t change) {
        RC_PRE(change != 0);
        FrameWriter writer(MessageKey("key"));
        FrameReader reader(MessageKey("key"), limit);
        std::string bytes = writer.write(frameOf(1, payload));
        bytes[position % bytes.size()] = static_cast<char>(bytes[position % bytes.size()] ^ change);
        reader.feed(bytes);
        RC_ASSERT(!reader.next().has_value());
    }));
}

TEST_CASE("a replayed frame is rejected")
{
    FrameWriter writer(MessageKey("key"));
    FrameReader reader(MessageKey("key"), limit);
    const std::string bytes = writer.write(frameOf(1, "pay once"));
    reader.feed(bytes);
    REQUIRE(reader.next().has_value());
    reader.feed(bytes);
    CHECK_FALSE(reader.next().has_value());
    CHECK(reader.isBroken());
}

TEST_CASE("a length over the limit is rejected before the frame is buffered")
{
    FrameReader reader(MessageKey("key"), limit);
    reader.feed("\xff\xff\xff\xff");
    CHECK_FALSE(reader.next().has_value());
    CHECK(reader.isBroken());
}
