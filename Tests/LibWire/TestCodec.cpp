#include <LibWire/Codec.h>
#include <LibWire/Generated/Messages.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Dogwoodkeel;

TEST_CASE("a message decodes to what was encoded")
{
    CHECK(rc::check([](const std::string &id, const std::string &body, std::uint64_t fingerprint) {
        const CommitRequest sent{RequestId(id), fingerprint, SessionNumber(3), {200, "text/plain", body}};
        const auto received = decode<CommitRequest>(encode(sent));
        RC_ASSERT(received.has_value());
        RC_ASSERT(*received == sent);
    }));
}

TEST_CASE("bytes that are no message decode to nothing")
{
    CHECK(rc::check([](const std::string &bytes) {
        const auto decoded = decode<JournalGroup>(bytes);
        const bool isConsistent = !decoded.has_value() || encode(*decoded) == bytes;
        RC_ASSERT(isConsistent);
    }));
}

TEST_CASE("a size that exceeds the input is refused, not allocated")
{
    std::string bytes = encode(JournalGroup());
    // The nonce's length, behind the byte order: claims 2^62 bytes.
    bytes[8] = 0x40;
    CHECK_FALSE(decode<JournalGroup>(bytes).has_value());
}

TEST_CASE("bytes behind a message are refused")
{
    CHECK_FALSE(decode<CancelRecord>(encode(CancelRecord()) + "x").has_value());
}
