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

/** Commits and journals a result. @return whether it was the first one of its item */
bool finish(JobTable &table, const ItemRecord &result)
{
    if (table.commit(result) != ItemVerdict::Journal) {
        return false;
    }
    table.apply(result);
    return true;
}

} // namespace

TEST_CASE("leased ranges end at the end of their object")
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

// Guards against lost or repeated items when a lane is lost after it committed one of its items: the other items run again on
// another lane, the finished one does not, and a late result of the lost lane is dropped.
TEST_CASE("items of a lost lane wait again, and each item gets one result")
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

// Guards against a job that never ends because the answer to a pull was lost: if renewing the known leases of the lane also
// extended those in the lost answer, their items would never run.
TEST_CASE("a lease that never reached its runner expires while its other leases are renewed")
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

// Guards against items that run twice after the takeover of a shard: lanes continue the items that the previous owner leased to
// them, so the new owner waits for their reports before it leases out the items that no lane reported.
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

TEST_CASE("a cancelled job leases out nothing, and its runners must stop")
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

TEST_CASE("a repeated submission finds its job, and another body under the same key is refused")
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

// Guards against lost results when the owner is replaced before or after results were moved to an object, with or without the
// record of the move: a checkpoint or replay restores the same job, with each result in memory or in an object.
TEST_CASE("results move to objects in pages, and a checkpoint restores the same state")
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
