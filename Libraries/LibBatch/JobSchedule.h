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
 * Selects the job whose items are leased out next, over all jobs of one owner. The job with the least slack goes first: slack is
 * the time until the job is due, minus its remaining work at the measured rate. Time passes equally for all jobs, so they are
 * ordered by their latest start, which changes only with their own progress. A decision takes O(log n).
 *
 * Tenants are served fairly: a tenant is skipped once it has been served tenantLead items more than the least served tenant,
 * however late its jobs are. So a tenant that submits everything as urgent cannot starve the others.
 */
class JobSchedule
{
public:
    struct Options
    {
        /** Max number of items that a tenant may be served more than the least served tenant. */
        std::uint32_t tenantLead = 2000;
    };

    explicit JobSchedule(Options options);
    ~JobSchedule();
    JobSchedule(const JobSchedule &) = delete;
    JobSchedule &operator=(const JobSchedule &) = delete;

    /** Updates the state of a job; a job without waiting items is not selected until it has some. */
    void update(const JobDemand &demand);
    void remove(const JobId &job);

    /** @return the job to lease items of next, or nothing if no items wait. */
    std::optional<JobId> next(const std::string &model) const;

    /** Records that items of a job were leased. */
    void leased(const JobId &job, std::uint32_t items);

    /**
     * Sets the mean time between two finished items of a model at the current rate. Changes of less than a quarter are ignored,
     * because each change reorders all jobs of the model.
     */
    void setTimePerItem(const std::string &model, std::chrono::nanoseconds time);

    std::chrono::nanoseconds timePerItem(const std::string &model) const;

    /** @return number of waiting items of a model. */
    std::uint64_t waiting(const std::string &model) const;

    /** @return models with waiting items. */
    std::vector<std::string> models() const;

    /** @return the earliest latest start of the jobs of a model, or nothing if no items wait. */
    std::optional<WallTime> latestStart(const std::string &model) const;

    /** @return jobs whose latest start is before a time, ordered by slack: they will be late. */
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
