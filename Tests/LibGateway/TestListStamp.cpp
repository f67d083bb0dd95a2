#include <LibGateway/ListStamp.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Guards against requests to a departed replica: a list that was sent before this node learned of the removal arrives after it.
TEST_CASE("a list of an older version of the table does not replace a newer one, whatever its age")
{
    const ListStamp own{7, std::chrono::milliseconds(30)};
    CHECK_FALSE(isMoreRecent({6, std::chrono::milliseconds(10)}, own));
    CHECK_FALSE(isMoreRecent({7, std::chrono::milliseconds(40)}, own));
    CHECK(isMoreRecent({8, std::chrono::milliseconds(10)}, own));
    CHECK(isMoreRecent({8, std::chrono::milliseconds(50)}, own));
}
