#include <LibWire/Codec.h>
#include <LibWire/Generated/Messages.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Dogwoodkeel;

TEST_CASE("a decoded message equals the encoded one")
{
    CHECK(rc::check([](const std::string &id, const std::string &body, std::uint64_t fingerprint) {
        const CommitRequest sent{RequestId(id), fingerprint, SessionNumber(3), {200, "text/plain", body}};
        const auto received = decode<CommitRequest>(encode(sent));
        RC_ASSERT(received.has_value());
        RC_ASSERT(*received == sent);
    }));
}

TEST_CASE("malformed bytes decode to nothing")
{
    CHECK(rc::check([](const std::string &bytes) {
        const auto decoded = decode<JournalGroup>(bytes);
        const bool isConsistent = !decoded.has_value() || encode(*decoded) == bytes;
        RC_ASSERT(isConsistent);
    }));
}

TEST_CASE("a size that exceeds the input is rejected before memory is allocated")
{
    std::string bytes = encode(JournalGroup());
    // The length of the nonce, after the byte order: states 2^62 bytes.
    bytes[8] = 0x40;
    CHECK_FALSE(decode<JournalGroup>(bytes).has_value());
}

TEST_CASE("bytes after a message are rejected")
{
    CHECK_FALSE(decode<CancelRecord>(encode(CancelRecord()) + "x").has_value());
}
