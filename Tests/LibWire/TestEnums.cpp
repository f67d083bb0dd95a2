#include <LibWire/Codec.h>
#include <LibWire/Generated/Messages.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// A node of a newer version, or a fault, may send a number that is not a value of the enum in this version. Without the
// check it would reach switches that have no case for it and be handled as another value.
TEST_CASE("A number that is not a value of its enum is rejected")
{
    SubmitJobResponse response;
    std::string bytes = encode(response);
    REQUIRE(decode<SubmitJobResponse>(bytes).has_value());
    bytes.back() = static_cast<char>(0x7f);
    CHECK_FALSE(decode<SubmitJobResponse>(bytes).has_value());

    JournalGroup group;
    group.records.push_back({});
    REQUIRE(decode<JournalGroup>(encode(group)).has_value());
    group.records.back().kind = static_cast<RecordKind>(200);
    CHECK_FALSE(decode<JournalGroup>(encode(group)).has_value());
}
