#include <LibBase/ManualClock.h>
#include <LibGateway/StreamOrigins.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

const StreamOrigin origin{ServiceName("llm"), SoftwareVersion("v1")};
constexpr std::chrono::seconds lifetime{5};

} // namespace

TEST_CASE("an origin is known as long as the caller may resume the stream")
{
    ManualClock clock;
    StreamOrigins origins(clock);
    origins.record(1, origin, lifetime);
    CHECK(origins.find(1) == origin);
    CHECK_FALSE(origins.find(2));
    clock.advance(lifetime);
    CHECK(origins.find(1) == origin);
    clock.advance(std::chrono::milliseconds(1));
    CHECK_FALSE(origins.find(1));
}

// An attempt is reported by its node, and again by the node that resumed its stream. The later expiry counts.
TEST_CASE("an origin that is reported again is kept until the later expiry")
{
    ManualClock clock;
    StreamOrigins origins(clock);
    origins.record(1, origin, lifetime);
    clock.advance(lifetime / 2);
    origins.record(1, origin, lifetime);
    clock.advance(lifetime / 2 + std::chrono::seconds(1));
    origins.record(2, origin, lifetime);
    CHECK(origins.find(1) == origin);
}

// Callers state how long they wait, without any limit.
TEST_CASE("the number of origins is bounded regardless of the stated lifetimes")
{
    ManualClock clock;
    StreamOrigins origins(clock);
    for (std::uint64_t request = 1; request <= 50000; ++request) {
        origins.record(request, origin, std::chrono::hours(1000));
    }
    CHECK(origins.count() <= 20000);
    CHECK(origins.find(50000) == origin);
    clock.advance(std::chrono::minutes(3));
    origins.record(1, origin, lifetime);
    CHECK(origins.count() == 1);
}
