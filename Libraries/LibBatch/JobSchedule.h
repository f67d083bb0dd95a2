#pragma once

#include <LibBatch/JobTable.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * Which job's items go next, over all jobs of one owner. Least slack first: slack is what is left until a job is due,
 * less the work it still needs at the rate measured. Since time passes for all jobs alike, they are kept in the order of
 * the latest time they can start at, which changes only with their own progress: O(log n) a decision.
 *
 * Tenants share: one that has had more items than the one that had least is passed over once its lead reaches
 * tenantLead, however late its jobs are. So a tenant that submits everything as urgent cannot shut the others out.
 */
class JobSchedule
{
public:
    struct Options
    {
        /** Items that a tenant's urgent jobs may run ahead of the other tenants' share. */
        std::uint32_t tenantLead = 2000;
    };

    explicit JobSchedule(Options options);
    ~JobSchedule();
    JobSchedule(const JobSchedule &) = delete;
    JobSchedule &operator=(const JobSchedule &) = delete;

    /** Take over where a job stands; one without waiting items is left out until it has some. */
    void update(const JobDemand &demand);
    void remove(const JobId &job);

    /** @return the job to lease items of next, or nothing if none waits. */
    std::optional<JobId> next(const std::string &model) const;

    /** Items of a job were leased. */
    void leased(const JobId &job, std::uint32_t items);

    /**
     * The time that one more item of a model takes at the rate all items finish now. A change of less than a quarter is
     * left, because each change puts all jobs of the model into a new order.
     */
    void setTimePerItem(const std::string &model, std::chrono::nanoseconds time);

    std::chrono::nanoseconds timePerItem(const std::string &model) const;

    /** @return waiting items of a model. */
    std::uint64_t waiting(const std::string &model) const;

    /** @return models with waiting items. */
    std::vector<std::string> models() const;

    /** @return the earliest of the latest starts over a model's jobs, or nothing if none waits. */
    std::optional<WallTime> latestStart(const std::string &model) const;

    /** @return jobs in the order of slack whose latest start is before a time: they will be late. */
    std::vector<JobId> startingBefore(WallTime time, std::size_t limit) const;

private:
    struct Entry;
    struct TenantQueue;
    struct ModelQueue;
    using Key = std::pair<WallTime, std::uint64_t>;

    void insert(Entry &entry, bool wasWaiting);
    void dequeue(Entry &entry);
    static WallTime latestStartOf(const Entry &entry);

    Options options;
    std::uint64_t lastNumber = 0;
    std::unordered_map<JobId, std::unique_ptr<Entry>> entries;
    std::map<std::string, std::unique_ptr<ModelQueue>> queues;
};

} // namespace Dogwoodkeel
