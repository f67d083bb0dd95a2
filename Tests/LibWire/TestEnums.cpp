#include <LibWire/Codec.h>
#include <LibWire/Generated/Messages.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// A node of a newer version, or a fault, sends a number that is no value of the enum here. It would reach switches that
// have no case for it, and be answered as if it were something else.
TEST_CASE("A number that is no value of its enum is refused")
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
