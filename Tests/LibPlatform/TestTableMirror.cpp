#include <LibPlatform/TableMirror.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

StoredRow row(const std::string &key, RowVersion version, bool isRemoved = false)
{
    return {{"t", "", key}, isRemoved ? "" : "value of " + key, version, isRemoved};
}

} // namespace

TEST_CASE("a follower of a mirror receives each changed row once, in its current state and in version order")
{
    TableMirror mirror;
    mirror.replaceAll({row("a", 1), row("b", 2)}, 5);
    mirror.apply(row("b", 7));
    mirror.apply(row("c", 7));
    mirror.apply(row("a", 8, true));
    mirror.advanceTo(9);
    const FollowResult changes = mirror.changesSince(5);
    REQUIRE(changes.outcome == FollowOutcome::Followed);
    REQUIRE(changes.rows.size() == 3);
    CHECK(changes.rows[0].version == 7);
    CHECK(changes.rows[1].version == 7);
    CHECK(changes.rows[2].key.key == "a");
    CHECK(changes.rows[2].isRemoved);
    CHECK(changes.version == 9);
    CHECK(mirror.changesSince(8).rows.empty());
    CHECK(mirror.changesSince(20).version == 20);
}

// A mirror does not know the removals before its first read, so a follower at an older version must read the table again.
TEST_CASE("a follower at a version before the first read of the mirror must read the table again")
{
    TableMirror mirror;
    CHECK_FALSE(mirror.isRead());
    mirror.replaceAll({row("a", 1)}, 5);
    CHECK(mirror.isRead());
    CHECK(mirror.changesSince(4).outcome == FollowOutcome::HistoryLost);
    CHECK(mirror.changesSince(5).outcome == FollowOutcome::Followed);
}

// The store may drop its history at any time. If all followers of the mirror then had to read the table again, all nodes would do
// so at the same time.
TEST_CASE("a mirror that is read again reports the rows changed and removed in the meantime")
{
    TableMirror mirror;
    mirror.replaceAll({row("a", 1), row("b", 2)}, 5);
    mirror.replaceAll({row("b", 2), row("c", 8)}, 9);
    const FollowResult changes = mirror.changesSince(5);
    REQUIRE(changes.outcome == FollowOutcome::Followed);
    REQUIRE(changes.rows.size() == 2);
    CHECK(changes.rows[0].key.key == "c");
    CHECK(changes.rows[1].key.key == "a");
    CHECK(changes.rows[1].isRemoved);
}

TEST_CASE("removals are retained up to a limit, and a follower behind it must read the table again")
{
    TableMirror mirror;
    mirror.replaceAll({}, 1);
    for (RowVersion version = 2; version < 6000; ++version) {
        mirror.apply(row("k" + std::to_string(version), version, true));
    }
    CHECK(mirror.changesSince(1).outcome == FollowOutcome::HistoryLost);
    CHECK(mirror.changesSince(5000).rows.size() == 999);
}

TEST_CASE("a mirror is read in key order and page by page")
{
    TableMirror mirror;
    mirror.replaceAll({row("c", 1), row("a", 2), row("b", 3)}, 5);
    const RowRangeResult first = mirror.read("", "", 2);
    REQUIRE(first.rows.size() == 2);
    CHECK(first.isTruncated);
    CHECK(first.version == 5);
    CHECK(first.rows[1].key.key == "b");
    const RowRangeResult remaining = mirror.read("", "b\x01", 2);
    REQUIRE(remaining.rows.size() == 1);
    CHECK_FALSE(remaining.isTruncated);
}
