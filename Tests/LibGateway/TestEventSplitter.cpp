#include <LibGateway/EventSplitter.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("events are returned whole, with their id and data")
{
    EventSplitter splitter(1000);
    CHECK(splitter.feed("id: 1\ndata: a").empty());
    CHECK(splitter.hasRemainder());
    const std::vector<StreamEvent> events = splitter.feed("\n\nx-weight-versions: 3\nid:2\r\ndata:b\r\ndata: c\r\n\r\n");
    REQUIRE(events.size() == 2);
    CHECK(events[0].text == "id: 1\ndata: a\n\n");
    CHECK(events[0].id == 1);
    CHECK(events[0].data == "a");
    CHECK(events[1].id == 2);
    CHECK(events[1].data == "b\nc");
    CHECK_FALSE(splitter.hasRemainder());
}

TEST_CASE("an event over the maximum size makes the stream invalid")
{
    EventSplitter splitter(10);
    splitter.feed("data: 0123456789");
    CHECK(splitter.isBroken());
}

TEST_CASE("an id that is not a number is ignored")
{
    EventSplitter splitter(1000);
    const std::vector<StreamEvent> events = splitter.feed("id: 1x\ndata: a\n\n");
    REQUIRE(events.size() == 1);
    CHECK_FALSE(events[0].id);
}
