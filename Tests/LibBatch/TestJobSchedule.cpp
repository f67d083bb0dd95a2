#include <LibBase/ManualClock.h>
#include <LibBatch/JobSchedule.h>
#include <LibBatch/RateMeter.h>

#include <doctest/doctest.h>

#include <map>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

const std::string model = "appraisal";

JobDemand demand(const std::string &id, const std::string &tenant, std::chrono::seconds due, std::uint32_t remaining)
{
    return {JobId(id), model, WorkspaceName(tenant), WallTime(due), remaining, remaining};
}

/** Leases items one by one. @return number of items leased per job */
std::map<JobId, int> leaseItems(JobSchedule &schedule, std::map<JobId, JobDemand> &jobs, int items)
{
    std::map<JobId, int> leasedItems;
    for (int i = 0; i < items; ++i) {
        const JobId job = *schedule.next(model);
        ++leasedItems[job];
        schedule.leased(job, 1);
        --jobs[job].waiting;
        schedule.update(jobs[job]);
    }
    return leasedItems;
}

} // namespace

TEST_CASE("the job with the least slack goes first, even if it is due later but has more remaining work")
{
    JobSchedule schedule({});
    schedule.update(demand("small", "shop", 5000s, 10));
    schedule.update(demand("large", "shop", 6000s, 4000));
    CHECK(schedule.next(model) == JobId("small"));
    schedule.setTimePerItem(model, 1s);
    CHECK(schedule.next(model) == JobId("large"));
    CHECK(schedule.startingBefore(WallTime(3000s), 10) == std::vector<JobId>{JobId("large")});
}

TEST_CASE("a job without waiting items is skipped until it has some")
{
    JobSchedule schedule({});
    JobDemand first = demand("first", "shop", 10s, 5);
    schedule.update(first);
    schedule.update(demand("second", "shop", 20s, 5));
    first.waiting = 0;
    schedule.update(first);
    CHECK(schedule.next(model) == JobId("second"));
    CHECK(schedule.waiting(model) == 5);
    first.waiting = 2;
    schedule.update(first);
    CHECK(schedule.next(model) == JobId("first"));
    schedule.remove(JobId("first"));
    schedule.remove(JobId("second"));
    CHECK_FALSE(schedule.next(model));
    CHECK(schedule.models().empty());
}

TEST_CASE("the lead of a tenant with urgent jobs is limited")
{
    JobSchedule schedule({.tenantLead = 100});
    std::map<JobId, JobDemand> jobs;
    jobs[JobId("urgent")] = demand("urgent", "loud", 10s, 100000);
    jobs[JobId("patient")] = demand("patient", "quiet", 90000s, 100000);
    for (const auto &[id, each] : jobs) {
        schedule.update(each);
    }
    auto leasedItems = leaseItems(schedule, jobs, 100);
    CHECK(leasedItems[JobId("urgent")] == 100);
    leasedItems = leaseItems(schedule, jobs, 1000);
    CHECK(leasedItems[JobId("urgent")] == 500);
    CHECK(leasedItems[JobId("patient")] == 500);
}

TEST_CASE("a returning tenant gets no credit for the time without jobs")
{
    JobSchedule schedule({.tenantLead = 1});
    std::map<JobId, JobDemand> jobs;
    jobs[JobId("old")] = demand("old", "there", 10s, 100000);
    schedule.update(jobs[JobId("old")]);
    leaseItems(schedule, jobs, 5000);
    jobs[JobId("new")] = demand("new", "back", 10s, 100000);
    schedule.update(jobs[JobId("new")]);
    auto leasedItems = leaseItems(schedule, jobs, 1000);
    CHECK(leasedItems[JobId("old")] == 500);
}

TEST_CASE("time without work does not count for the rate")
{
    ManualClock clock;
    RateMeter meter(clock, 10s);
    CHECK(meter.timePerItem() == 0ns);
    clock.advance(1h);
    for (int i = 0; i < 101; ++i) {
        meter.finished(1);
        clock.advance(100ms);
    }
    CHECK(std::chrono::duration<double>(meter.timePerItem()).count() == doctest::Approx(0.1).epsilon(0.02));
}
