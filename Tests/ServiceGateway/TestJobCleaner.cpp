#include <LibBase/ManualClock.h>
#include <LibWire/Codec.h>
#include <Services/Gateway/JobCleaner.h>
#include <Tests/Fakes/FakeRowStore.h>

#include <doctest/doctest.h>

#include <set>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::minutes retention{2};

/** A cleaner with a fake store that holds jobs of several ages. */
class Bench
{
public:
    Bench()
    {
        this->storeClock.record(StoreTime(std::chrono::hours(1)));
    }

    void addJob(const std::string &name, std::size_t results, std::uint32_t total = 0)
    {
        JobHead head;
        head.total = total;
        head.submitted = this->storeClock.now().value();
        this->store.put(JobRows::head(JobId(name)), encode(head));
        for (std::size_t i = 0; i < results; ++i) {
            const ItemResult result{ItemId("i"), ItemOutcome::Completed, "x"};
            for (const RowPut &put : JobRows::putResult(JobId(name), i, result, 1000)) {
                this->store.put(put.key, put.value);
            }
        }
    }

    std::set<std::string> jobs() const
    {
        std::set<std::string> names;
        for (const StoredRow &row : this->store.rowsOf(JobRows::jobTable)) {
            names.insert(row.key.part);
        }
        return names;
    }

    ManualClock clock;
    FakeRowStore store{this->clock};
    StoreClock storeClock{this->clock};
    bool isCoordinator = true;
    std::set<JobId> open;
    JobCleaner cleaner{this->clock,
                       this->storeClock,
                       this->store,
                       retention,
                       {.isCoordinator =
                            [this] {
                                return this->isCoordinator;
                            },
                        .isOpen =
                            [this](const JobId &job) {
                                return this->open.contains(job);
                            }}};
};

} // namespace

TEST_CASE("all rows of a job are removed when its retention has ended, and no earlier")
{
    Bench bench;
    bench.addJob("old", 250);
    bench.clock.advance(std::chrono::seconds(150));
    bench.addJob("new", 3);
    CHECK(bench.jobs() == std::set<std::string>{"new", "old"});
    bench.clock.advance(std::chrono::seconds(120));
    CHECK(bench.jobs() == std::set<std::string>{"new"});
    CHECK(bench.store.rowsOf(JobRows::jobTable).size() == 4);
}

// A node has just started and has not read which jobs are open. A job that has been unfinished for long must not be removed.
TEST_CASE("a job with unlisted items is kept, even if it is not known as open")
{
    Bench bench;
    bench.addJob("unfinished", 1, 2);
    bench.clock.advance(std::chrono::minutes(10));
    CHECK(bench.jobs() == std::set<std::string>{"unfinished"});
}

TEST_CASE("an open job is kept, and a node that is not the coordinator removes nothing")
{
    Bench bench;
    bench.addJob("open", 1);
    bench.open.insert(JobId("open"));
    bench.addJob("closed", 1);
    bench.isCoordinator = false;
    bench.clock.advance(std::chrono::minutes(10));
    CHECK(bench.jobs().size() == 2);
    bench.isCoordinator = true;
    bench.clock.advance(std::chrono::minutes(5));
    CHECK(bench.jobs() == std::set<std::string>{"open"});
}
