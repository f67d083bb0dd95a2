#include <LibBase/ManualClock.h>
#include <LibBatch/JobTable.h>
#include <LibWire/Codec.h>

#include <doctest/doctest.h>

#include <rapidcheck.h>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds itemLease{30000};
constexpr std::size_t unbounded = 1U << 30U;
const SessionNumber laneA(1);
const SessionNumber laneB(2);

JobRecord makeJob(const std::string &id, std::uint32_t items, std::uint32_t itemsPerObject)
{
    JobRecord job;
    job.jobId = JobId(id);
    job.tenant = WorkspaceName("shop");
    job.model = "appraisal";
    job.fingerprint = items;
    job.itemCount = items;
    job.itemsPerObject = itemsPerObject;
    job.itemObjects.assign((items + itemsPerObject - 1) / itemsPerObject, "items");
    return job;
}

void submit(JobTable &table, const JobRecord &job)
{
    REQUIRE(table.submit(job).isNew);
    table.apply(job);
}

ItemRecord resultOf(const JobId &job, std::uint32_t index, ItemStatus status = ItemStatus::Succeeded)
{
    return {job, index, status, "answer " + std::to_string(index)};
}

/** Commits and journals an item. @return whether it counted */
bool finish(JobTable &table, const ItemRecord &result)
{
    if (table.commit(result) != ItemVerdict::Journal) {
        return false;
    }
    table.apply(result);
    return true;
}

} // namespace

TEST_CASE("items are leased in runs that end with their object")
{
    ManualClock clock;
    JobTable table(clock, itemLease);
    const JobRecord job = makeJob("job", 10, 4);
    submit(table, job);
    CHECK(table.lease(job.jobId, 3, laneA)->span == ItemSpan{0, 3});
    CHECK(table.lease(job.jobId, 8, laneB)->span == ItemSpan{3, 1});
    CHECK(table.lease(job.jobId, 8, laneB)->span == ItemSpan{4, 4});
    CHECK(table.waiting() == 2);
}

// A lane is lost with its items, and one of them had been handed in before. The caller sees every item done once: the
// lost ones run again on another lane, the finished one does not, and a result of the lost lane that arrives late is
// dropped.
TEST_CASE("items of a lost lane wait again, each result counts once")
{
    ManualClock clock;
    JobTable table(clock, itemLease);
    const JobRecord job = makeJob("job", 4, 4);
    submit(table, job);
    table.lease(job.jobId, 4, laneA);
    CHECK(finish(table, resultOf(job.jobId, 1)));
    table.removeRunner(laneA);
    CHECK(table.lease(job.jobId, 4, laneB)->span == ItemSpan{0, 1});
    CHECK(table.lease(job.jobId, 4, laneB)->span == ItemSpan{2, 2});
    CHECK(finish(table, resultOf(job.jobId, 0)));
    CHECK_FALSE(finish(table, resultOf(job.jobId, 0)));
    CHECK(finish(table, resultOf(job.jobId, 2)));
    CHECK(finish(table, resultOf(job.jobId, 3, ItemStatus::Failed)));
    CHECK((table.progress(job.jobId).state == JobState::Completed));
    CHECK(table.progress(job.jobId).failed == 1);
}

// The answer to a pull is lost on the way. The lane goes on renewing what it knows of; were that to keep the lost items
// leased too, they would never run and the job would hang a few items short of its end.
TEST_CASE("a lease that its runner never heard of runs out while its other leases are renewed")
{
    ManualClock clock;
    JobTable table(clock, itemLease);
    const JobRecord job = makeJob("job", 8, 8);
    submit(table, job);
    table.lease(job.jobId, 2, laneA);
    table.lease(job.jobId, 2, laneA);
    std::vector<ItemSpan> lost;
    for (int i = 0; i < 4; ++i) {
        clock.advance(itemLease / 3);
        CHECK(table.renew({job.jobId, {{0, 2}}}, laneA, lost));
        table.expire();
    }
    CHECK(lost.empty());
    CHECK(table.lease(job.jobId, 8, laneB)->span == ItemSpan{2, 6});
}

// A node takes a shard over. The lanes go on running what the owner before had leased to them. The new owner must not hand
// those items out before the lanes have told it, else they run twice; what nobody tells of is handed out.
TEST_CASE("after a takeover runners keep their items")
{
    ManualClock clock;
    JobTable table(clock, itemLease);
    const JobRecord job = makeJob("job", 4, 4);
    table.apply(job);
    CHECK_FALSE(table.lease(job.jobId, 4, laneB));
    std::vector<ItemSpan> lost;
    CHECK(table.renew({job.jobId, {{1, 2}}}, laneA, lost));
    clock.advance(JobTable::defaultHold);
    table.expire();
    CHECK(table.lease(job.jobId, 4, laneB)->span == ItemSpan{0, 1});
    CHECK(table.lease(job.jobId, 4, laneB)->span == ItemSpan{3, 1});
    CHECK_FALSE(table.lease(job.jobId, 4, laneB));
    CHECK(table.renew({job.jobId, {{0, 2}}}, laneA, lost));
    CHECK(lost == std::vector<ItemSpan>{{0, 1}});
}

TEST_CASE("a cancelled job hands out nothing and tells its runners to stop")
{
    ManualClock clock;
    JobTable table(clock, itemLease);
    const JobRecord job = makeJob("job", 4, 4);
    submit(table, job);
    table.lease(job.jobId, 2, laneA);
    table.apply(CancelRecord{job.jobId});
    std::vector<ItemSpan> lost;
    CHECK_FALSE(table.lease(job.jobId, 4, laneB));
    CHECK_FALSE(table.renew({job.jobId, {{0, 2}}}, laneA, lost));
    CHECK((table.progress(job.jobId).state == JobState::Cancelled));
    CHECK(table.waiting() == 0);
}

TEST_CASE("a resubmission finds its job, and another body under the same key is refused")
{
    ManualClock clock;
    JobTable table(clock, itemLease);
    JobRecord job = makeJob("job", 4, 4);
    CHECK(table.submit(job).isNew);
    CHECK((table.submit(job).decision == SubmitDecision::Unavailable));
    table.apply(job);
    CHECK((table.submit(job).decision == SubmitDecision::Accepted));
    job.fingerprint += 1;
    CHECK((table.submit(job).decision == SubmitDecision::Mismatch));
}

// The owner is replaced at any point: before or after results were moved to an object, with the record of the move lost
// or there. What a checkpoint or a replay brings back must be the same job, each result in memory or in an object.
TEST_CASE("results move to objects in pages and a checkpoint brings the same state back")
{
    rc::check([](const std::vector<std::uint32_t> &order) {
        ManualClock clock;
        JobTable table(clock, itemLease);
        const JobRecord job = makeJob("job", 20, 6);
        RC_ASSERT(table.submit(job).isNew);
        table.apply(job);
        std::set<std::uint32_t> done;
        std::set<std::uint32_t> moved;
        for (const std::uint32_t number : order) {
            const std::uint32_t index = number % job.itemCount;
            const ItemStatus status = index % 5 == 0 ? ItemStatus::Failed : ItemStatus::Succeeded;
            RC_ASSERT(finish(table, resultOf(job.jobId, index, status)) == done.insert(index).second);
            if (const auto draft = table.nextDraft(number % 3 == 0 ? 0 : unbounded)) {
                table.apply(table.recordOf(*draft, "object " + std::to_string(number)));
                for (const ItemRecord &result : draft->results) {
                    RC_ASSERT(moved.insert(result.index).second);
                }
            }
        }
        JobTable restored(clock, itemLease);
        for (const auto &[kind, payload] : table.checkpointRecords()) {
            switch (kind) {
            case RecordKind::Job:
                restored.apply(*decode<JobRecord>(payload));
                break;
            case RecordKind::Item:
                restored.apply(*decode<ItemRecord>(payload));
                break;
            case RecordKind::Page:
                restored.apply(*decode<PageRecord>(payload));
                break;
            default:
                RC_FAIL("unexpected record");
            }
        }
        const JobProgress before = table.progress(job.jobId);
        const JobProgress after = restored.progress(job.jobId);
        RC_ASSERT(before.succeeded == after.succeeded);
        RC_ASSERT(before.failed == after.failed);
        RC_ASSERT(before.succeeded + before.failed == done.size());
        RC_ASSERT(table.resultBytes() == restored.resultBytes());
        std::set<std::uint32_t> inMemory;
        for (std::uint32_t from = 0; from < job.itemCount;) {
            const PageOfResults page = restored.find(job.jobId)->resultsFrom(from);
            for (const ItemRecord &result : page.inMemory) {
                RC_ASSERT(!moved.contains(result.index));
                inMemory.insert(result.index);
            }
            from = page.end;
        }
        RC_ASSERT(inMemory.size() + moved.size() == done.size());
    });
}
