#include <LibBase/ManualClock.h>
#include <Services/Gateway/TableFollower.h>
#include <Tests/Fakes/FakeRowStore.h>

#include <doctest/doctest.h>

#include <map>

using namespace Dogwoodkeel;

namespace
{

/** Follows a table of a stand-in store, and keeps the rows that it receives. */
class Bench
{
public:
    Bench()
        : follower(this->clock,
                   this->store,
                   1,
                   {"t",
                    [] {
                        return std::chrono::milliseconds(1000);
                    },
                    std::chrono::milliseconds(0)},
                   {.onSnapshot =
                        [this](const std::vector<StoredRow> &rows) {
                            this->known.clear();
                            for (const StoredRow &row : rows) {
                                this->known[row.key.key] = row.value;
                            }
                            ++this->reads;
                        },
                    .onChange =
                        [this](const StoredRow &row) {
                            if (row.isRemoved) {
                                this->known.erase(row.key.key);
                            } else {
                                this->known[row.key.key] = row.value;
                            }
                        },
                    .onAnswer = [] {},
                    .onFailure =
                        [this] {
                            ++this->failures;
                        }})
    {
    }

    ManualClock clock;
    FakeRowStore store{this->clock};
    std::map<std::string, std::string> known;
    int reads = 0;
    int failures = 0;
    TableFollower follower;
};

RowKey rowKey(const std::string &key)
{
    return {"t", "", key};
}

} // namespace

TEST_CASE("a table is read once, and then its changes are delivered")
{
    Bench bench;
    bench.store.put(rowKey("a"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.known == std::map<std::string, std::string>{{"a", "1"}});
    bench.store.put(rowKey("b"), "2");
    bench.store.remove(rowKey("a"));
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.known == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(bench.reads == 1);
}

// Guards against requests to departed replicas: the store drops its history while a row is removed, and a follower that only
// continued with the next change would keep the removed row for ever.
TEST_CASE("the table is read again after a gap in the history")
{
    Bench bench;
    bench.store.put(rowKey("a"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    bench.store.remove(rowKey("a"));
    bench.store.dropHistory();
    bench.clock.advance(std::chrono::milliseconds(200));
    CHECK(bench.known.empty());
    CHECK(bench.reads == 2);
}

TEST_CASE("changes during an outage of the store are delivered soon after its return")
{
    Bench bench;
    bench.store.put(rowKey("a"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    bench.store.setDown(true);
    bench.clock.advance(std::chrono::seconds(10));
    CHECK(bench.failures > 10);
    bench.store.put(rowKey("a"), "2");
    bench.store.setDown(false);
    bench.clock.advance(std::chrono::milliseconds(450));
    CHECK(bench.known["a"] == "2");
}

// Guards against requests to departed replicas: the table takes two pages, and a row of the first is removed between them. A
// follower that continued from the version of the second page would never learn of the removal.
TEST_CASE("changes between the pages of a long table are not missed")
{
    Bench bench;
    bench.store.setPageSize(2);
    for (const char *key : {"a", "b", "c"}) {
        bench.store.put(rowKey(key), "1");
    }
    bench.clock.advance(std::chrono::milliseconds(500));
    bench.store.dropHistory();
    bench.store.removeAfterRead(rowKey("a"));
    bench.clock.advance(std::chrono::milliseconds(500));
    CHECK(bench.reads == 2);
    CHECK(bench.known == std::map<std::string, std::string>{{"b", "1"}, {"c", "1"}});
}

// Guards against overload of the store when a whole fleet starts at once, and each node reads a long table from its beginning
// again after each failure.
TEST_CASE("the read of a long table continues at the page that failed")
{
    Bench bench;
    bench.store.setPageSize(2);
    bench.clock.advance(std::chrono::milliseconds(100));
    for (const char *key : {"a", "b", "c", "d", "e", "f"}) {
        bench.store.put(rowKey(key), "1");
    }
    bench.store.dropHistory();
    const std::size_t first = bench.store.reads();
    while (bench.store.reads() < first + 2) {
        bench.clock.advance(std::chrono::milliseconds(1));
    }
    bench.store.setDown(true);
    bench.clock.advance(std::chrono::milliseconds(40));
    bench.store.setDown(false);
    const std::size_t before = bench.store.reads();
    bench.store.put(rowKey("a"), "2");
    bench.clock.advance(std::chrono::milliseconds(500));
    CHECK(bench.known.size() == 6);
    CHECK(bench.known["a"] == "2");
    CHECK(bench.store.reads() - before == 1);
}

TEST_CASE("a table that another node sent is followed without reading it")
{
    Bench bench;
    bench.store.setDown(true);
    bench.clock.advance(std::chrono::milliseconds(100));
    bench.store.put(rowKey("a"), "1");
    const RowVersion version = bench.store.rowsOf("t").at(0).version;
    bench.follower.followFrom(version);
    bench.store.setDown(false);
    const std::size_t before = bench.store.reads();
    bench.store.put(rowKey("b"), "2");
    bench.clock.advance(std::chrono::milliseconds(500));
    CHECK(bench.known == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(bench.store.reads() == before);
}

// Guards against a request that waits for many seconds on a connection that died in an outage.
TEST_CASE("a refresh sends a new request, and answers to the former one are ignored")
{
    Bench bench;
    bench.store.put(rowKey("a"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    bench.store.setFollowMuted(true);
    bench.clock.advance(std::chrono::milliseconds(100));
    bench.store.put(rowKey("a"), "2");
    bench.store.setFollowMuted(false);
    bench.clock.advance(std::chrono::milliseconds(800));
    CHECK(bench.known["a"] == "1");
    bench.follower.refresh();
    bench.clock.advance(std::chrono::milliseconds(50));
    CHECK(bench.known["a"] == "2");
}

// Guards against requests to departed replicas: an answer that was pending undoes what the newer table of another node says.
TEST_CASE("changes up to the version of a table that another node sent are not delivered again")
{
    Bench bench;
    bench.store.put(rowKey("a"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    const RowVersion known = bench.follower.version();
    bench.store.put(rowKey("a"), "2");
    bench.follower.followFrom(known + 1);
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.known["a"] == "1");
    bench.follower.followFrom(known);
    CHECK(bench.follower.version() == known + 1);
    bench.store.put(rowKey("a"), "3");
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.known["a"] == "3");
}

// Guards against requests to departed replicas: a read in several pages ends after a newer table was received.
TEST_CASE("a table that is older than one that another node sent is read again")
{
    Bench bench;
    bench.store.setPageSize(1);
    bench.store.put(rowKey("a"), "1");
    bench.store.put(rowKey("b"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    bench.store.dropHistory();
    const std::size_t first = bench.store.reads();
    while (bench.store.reads() < first + 2) {
        bench.clock.advance(std::chrono::milliseconds(1));
    }
    const int before = bench.reads;
    bench.store.put(rowKey("a"), "2");
    bench.follower.followFrom(bench.follower.version() + 2);
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.reads == before + 1);
    CHECK(bench.known["a"] == "2");
}

// Guards against requests to departed replicas: the store is silent for a while, and a call that it never answers delays the
// removal of a row until long after the store's return.
TEST_CASE("changes are delivered soon after the return of a silent store, although a call to it is still pending")
{
    Bench bench;
    bench.store.put(rowKey("a"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    for (const std::chrono::milliseconds silence : {std::chrono::milliseconds(1500), std::chrono::milliseconds(3000)}) {
        bench.store.setFollowMuted(true);
        bench.clock.advance(silence);
        bench.store.put(rowKey("a"), std::to_string(silence.count()));
        bench.store.setFollowMuted(false);
        bench.clock.advance(std::chrono::milliseconds(500));
        CHECK(bench.known["a"] == std::to_string(silence.count()));
        bench.clock.advance(std::chrono::seconds(5));
    }
}

// Guards against a link that is filled by answers that are requested again while they arrive.
TEST_CASE("a request is not repeated while its answer arrives")
{
    Bench bench;
    bench.store.put(rowKey("a"), "1");
    bench.clock.advance(std::chrono::milliseconds(100));
    bench.store.setTransferTime(std::chrono::milliseconds(5000));
    const std::size_t before = bench.store.follows();
    bench.store.put(rowKey("a"), "2");
    bench.clock.advance(std::chrono::milliseconds(4900));
    CHECK(bench.known["a"] == "1");
    CHECK(bench.store.follows() - before <= 1);
    bench.clock.advance(std::chrono::milliseconds(200));
    CHECK(bench.known["a"] == "2");
    CHECK(bench.failures == 0);

    bench.store.dropHistory();
    const std::size_t reads = bench.store.reads();
    bench.clock.advance(std::chrono::milliseconds(5200));
    CHECK(bench.reads == 2);
    CHECK(bench.store.reads() - reads == 1);
    CHECK(bench.failures == 0);
}
