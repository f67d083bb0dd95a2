// Measures the time of batch decisions: scheduling over 10 and 32,000 jobs, selecting one of 390 owners, and updating a
// lane and computing its free slots. Also measures the memory of a job and of an item.
#include <Benchmarks/Support/Figures.h>

#include <LibBase/ManualClock.h>
#include <LibBatch/JobSchedule.h>
#include <LibBatch/JobTable.h>
#include <LibBatch/Lane.h>
#include <LibBatch/OwnerSelector.h>

#include <malloc.h>

#include <random>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "folder with the programs; not used");

namespace
{

using namespace Dogwoodkeel;

constexpr std::uint32_t itemsPerObject = 500;
constexpr std::uint32_t largestJob = 260000;
const std::string model = "appraisal";

template <typename Action>
double nanosecondsEach(int times, Action action)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        action(i);
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / times;
}

JobRecord makeJob(std::uint32_t number, std::uint32_t items, std::mt19937_64 &random)
{
    JobRecord job;
    job.jobId = JobId("batch-0123456789abcdef-" + std::to_string(number));
    job.tenant = WorkspaceName("tenant-" + std::to_string(random() % 1000));
    job.model = model;
    job.due = WallTime(std::chrono::seconds(random() % 86400));
    job.itemCount = items;
    job.itemsPerObject = itemsPerObject;
    for (std::uint32_t i = 0; i * itemsPerObject < items; ++i) {
        job.itemObjects.push_back("items/" + job.jobId.value() + "/0123456789abcdef/" + std::to_string(i));
    }
    return job;
}

void measureSchedule(std::uint32_t jobs, const std::string &name)
{
    constexpr int decisions = 20000;
    constexpr std::uint32_t itemsOfJob = 20000;
    ManualClock clock;
    std::mt19937_64 random(1);
    JobTable table(clock, std::chrono::seconds(30));
    JobSchedule schedule({});
    schedule.setTimePerItem(model, std::chrono::milliseconds(1));
    for (std::uint32_t i = 0; i < jobs; ++i) {
        const JobRecord job = makeJob(i, itemsOfJob, random);
        table.submit(job);
        table.apply(job);
    }
    for (const JobDemand &demand : table.drainChanged()) {
        schedule.update(demand);
    }
    const double each = nanosecondsEach(decisions, [&](int) {
        const auto job = schedule.next(model);
        const auto leased = job ? table.lease(*job, 8, SessionNumber(1)) : std::nullopt;
        if (leased) {
            schedule.leased(*job, leased->span.count);
            schedule.update(table.demand(*job));
        }
    });
    printFigure("decisionsbatch.lease_8_items." + name, each, "ns");
    const double rateUpdate = nanosecondsEach(1, [&](int) {
        schedule.setTimePerItem(model, std::chrono::milliseconds(2));
    });
    printFigure("decisionsbatch.new_rate." + name, rateUpdate / 1000000, "ms");
    const double expire = nanosecondsEach(100, [&](int) {
        table.expire();
    });
    printFigure("decisionsbatch.expire." + name, expire / 1000, "us");
}

void measureOwners()
{
    constexpr std::uint32_t owners = 390;
    ManualClock clock;
    OwnerSelector selector(clock);
    std::vector<SessionNumber> candidates;
    for (std::uint32_t i = 1; i <= owners; ++i) {
        candidates.emplace_back(i);
    }
    const double each = nanosecondsEach(5000, [&](int i) {
        const auto owner = selector.select(model, candidates);
        selector.recordAnswer(model, *owner, 100, WallTime(std::chrono::seconds(i * 7919 % 86400)));
        clock.advance(std::chrono::milliseconds(10));
    });
    printFigure("decisionsbatch.choose_of_390_owners", each, "ns");
}

void measureLane()
{
    ManualClock clock;
    Lane lane(clock, {.capacity = 64, .headroom = 1, .slowdown = 0.1});
    lane.settle();
    std::uint32_t slots = 0;
    const double each = nanosecondsEach(200000, [&](int i) {
        const auto number = static_cast<std::uint32_t>(i);
        lane.observeOnline(SessionNumber(1 + number % 390), number + 1, number % 3);
        slots += lane.freeSlots() + lane.excess();
    });
    printFigure("decisionsbatch.lane_notice", each, "ns");
    // The sum is used, so that the compiler does not optimize the decisions away.
    if (slots == 0) {
        printFigure("decisionsbatch.lane_never_had_places", 1, "error");
    }
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

void measureMemory()
{
    ManualClock clock;
    std::mt19937_64 random(1);
    for (const std::uint32_t items : {100U, 10000U, largestJob}) {
        const std::uint32_t jobs = items == largestJob ? 8 : 400;
        const std::size_t before = heapBytes();
        JobTable table(clock, std::chrono::seconds(30));
        for (std::uint32_t i = 0; i < jobs; ++i) {
            const JobRecord job = makeJob(i, items, random);
            table.submit(job);
            table.apply(job);
        }
        const auto bytes = static_cast<double>(heapBytes() - before);
        printFigure("decisionsbatch.memory_of_a_job_of_" + std::to_string(items), bytes / jobs, "bytes");
    }
    // Runs one large job: leases and completes all items, and writes their results out page by page.
    const std::size_t before = heapBytes();
    JobTable table(clock, std::chrono::seconds(30));
    const JobRecord job = makeJob(0, largestJob, random);
    table.submit(job);
    table.apply(job);
    std::size_t peakBytes = 0;
    std::uint32_t done = 0;
    const auto start = std::chrono::steady_clock::now();
    while (const auto leased = table.lease(job.jobId, 64, SessionNumber(1))) {
        for (std::uint32_t i = 0; i < leased->span.count; ++i, ++done) {
            const ItemRecord result{job.jobId, leased->span.first + i, ItemStatus::Succeeded, std::string(500, 'r')};
            table.commit(result);
            table.apply(result);
        }
        while (const auto draft = table.nextDraft(1U << 24U)) {
            table.apply(table.recordOf(*draft, "results/" + job.jobId.value() + '/' + std::to_string(draft->page)));
        }
        peakBytes = std::max(peakBytes, heapBytes() - before);
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    printFigure("decisionsbatch.memory_of_260000_items_most", static_cast<double>(peakBytes), "bytes");
    printFigure("decisionsbatch.memory_of_an_item", static_cast<double>(heapBytes() - before) / largestJob, "bytes");
    printFigure("decisionsbatch.time_of_an_item", elapsed.count() / done, "us");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measureMemory();
    measureOwners();
    measureLane();
    measureSchedule(10, "10_jobs");
    measureSchedule(32000, "32000_jobs");
    return 0;
}
