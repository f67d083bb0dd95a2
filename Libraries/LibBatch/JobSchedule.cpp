#include <LibBatch/JobSchedule.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Max number of tenants without waiting jobs whose served items are kept. */
constexpr std::size_t idleTenantsKept = 1024;

} // namespace

struct JobSchedule::Entry
{
    JobDemand demand;
    std::uint64_t number = 0;
    ModelQueue *model = nullptr;
    /** Set while the job is in the queues. */
    TenantQueue *tenant = nullptr;
    Key key;
};

struct JobSchedule::TenantQueue
{
    WorkspaceName name;
    std::uint64_t number = 0;
    /** Items served to the tenant; starts at the count of the least served tenant. */
    std::uint64_t served = 0;
    std::map<Key, Entry *> jobs;
    /** Key in ModelQueue::byUrgency. */
    Key head;
};

struct JobSchedule::ModelQueue
{
    std::chrono::nanoseconds timePerItem{0};
    std::uint64_t waiting = 0;
    std::map<WorkspaceName, TenantQueue> tenants;
    /** Tenants with waiting jobs, by their served items and by their most urgent job. */
    std::map<std::pair<std::uint64_t, std::uint64_t>, TenantQueue *> byServed;
    std::map<Key, TenantQueue *> byUrgency;

    void link(TenantQueue &tenant)
    {
        tenant.head = tenant.jobs.begin()->first;
        this->byUrgency.emplace(tenant.head, &tenant);
        this->byServed.emplace(std::pair(tenant.served, tenant.number), &tenant);
    }

    void unlink(TenantQueue &tenant)
    {
        this->byUrgency.erase(tenant.head);
        this->byServed.erase(std::pair(tenant.served, tenant.number));
    }

    void removeIdle(const TenantQueue &except)
    {
        if (this->tenants.size() - this->byServed.size() <= idleTenantsKept) {
            return;
        }
        std::erase_if(this->tenants, [&except](const auto &entry) {
            return entry.second.jobs.empty() && &entry.second != &except;
        });
    }
};

JobSchedule::JobSchedule(Options options) : options(options)
{
}

JobSchedule::~JobSchedule() = default;

WallTime JobSchedule::latestStartOf(const Entry &entry)
{
    const auto work = entry.model->timePerItem * entry.demand.remaining;
    return entry.demand.due - std::chrono::duration_cast<WallTime::duration>(work);
}

void JobSchedule::update(const JobDemand &demand)
{
    if (demand.remaining == 0) {
        this->remove(demand.jobId);
        return;
    }
    std::unique_ptr<Entry> &entry = this->entries[demand.jobId];
    if (!entry) {
        entry = std::make_unique<Entry>();
        entry->number = ++this->lastNumber;
        std::unique_ptr<ModelQueue> &queue = this->queues[demand.model];
        if (!queue) {
            queue = std::make_unique<ModelQueue>();
        }
        entry->model = queue.get();
    }
    const bool wasWaiting = entry->tenant != nullptr;
    this->dequeue(*entry);
    entry->demand = demand;
    this->insert(*entry, wasWaiting);
}

void JobSchedule::remove(const JobId &job)
{
    const auto found = this->entries.find(job);
    if (found != this->entries.end()) {
        this->dequeue(*found->second);
        this->entries.erase(found);
    }
}

void JobSchedule::insert(Entry &entry, bool wasWaiting)
{
    if (entry.demand.waiting == 0) {
        return;
    }
    ModelQueue &model = *entry.model;
    const auto [found, isNew] = model.tenants.try_emplace(entry.demand.tenant);
    TenantQueue &tenant = found->second;
    if (isNew) {
        model.removeIdle(tenant);
        tenant.name = entry.demand.tenant;
        tenant.number = ++this->lastNumber;
    }
    if (!tenant.jobs.empty()) {
        model.unlink(tenant);
    } else if (!wasWaiting) {
        // A returning tenant gets no credit for the time without jobs, else it could starve the others for as long. A tenant
        // with a lead keeps it, so that a short absence does not reset it.
        const std::uint64_t minServed = model.byServed.empty() ? tenant.served : model.byServed.begin()->first.first;
        tenant.served = std::max(tenant.served, minServed);
    }
    entry.key = {latestStartOf(entry), entry.number};
    entry.tenant = &tenant;
    tenant.jobs.emplace(entry.key, &entry);
    model.link(tenant);
    model.waiting += entry.demand.waiting;
}

void JobSchedule::dequeue(Entry &entry)
{
    TenantQueue *const tenant = std::exchange(entry.tenant, nullptr);
    if (tenant == nullptr) {
        return;
    }
    ModelQueue &model = *entry.model;
    model.unlink(*tenant);
    tenant->jobs.erase(entry.key);
    if (!tenant->jobs.empty()) {
        model.link(*tenant);
    }
    model.waiting -= entry.demand.waiting;
}

std::optional<JobId> JobSchedule::next(const std::string &model) const
{
    const auto found = this->queues.find(model);
    if (found == this->queues.end() || found->second->byUrgency.empty()) {
        return std::nullopt;
    }
    const ModelQueue &queue = *found->second;
    const TenantQueue *const urgent = queue.byUrgency.begin()->second;
    const TenantQueue *const leastServed = queue.byServed.begin()->second;
    const bool mayLead = urgent->served < leastServed->served + this->options.tenantLead;
    const TenantQueue *const selected = mayLead ? urgent : leastServed;
    return selected->jobs.begin()->second->demand.jobId;
}

void JobSchedule::leased(const JobId &job, std::uint32_t items)
{
    const auto found = this->entries.find(job);
    if (found == this->entries.end() || found->second->tenant == nullptr) {
        return;
    }
    TenantQueue &tenant = *found->second->tenant;
    ModelQueue &model = *found->second->model;
    model.unlink(tenant);
    tenant.served += items;
    model.link(tenant);
}

void JobSchedule::setTimePerItem(const std::string &model, std::chrono::nanoseconds time)
{
    constexpr int part = 4;
    const auto found = this->queues.find(model);
    if (found == this->queues.end()) {
        return;
    }
    const auto now = found->second->timePerItem;
    if (time >= now - now / part && time <= now + now / part) {
        return;
    }
    std::vector<Entry *> queued;
    for (const auto &[id, entry] : this->entries) {
        if (entry->model == found->second.get() && entry->tenant != nullptr) {
            queued.push_back(entry.get());
            this->dequeue(*entry);
        }
    }
    found->second->timePerItem = time;
    for (Entry *const entry : queued) {
        this->insert(*entry, true);
    }
}

std::chrono::nanoseconds JobSchedule::timePerItem(const std::string &model) const
{
    const auto found = this->queues.find(model);
    return found != this->queues.end() ? found->second->timePerItem : std::chrono::nanoseconds(0);
}

std::uint64_t JobSchedule::waiting(const std::string &model) const
{
    const auto found = this->queues.find(model);
    return found != this->queues.end() ? found->second->waiting : 0;
}

std::vector<std::string> JobSchedule::models() const
{
    std::vector<std::string> names;
    for (const auto &[name, queue] : this->queues) {
        if (queue->waiting > 0) {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<WallTime> JobSchedule::latestStart(const std::string &model) const
{
    const auto found = this->queues.find(model);
    if (found == this->queues.end() || found->second->byUrgency.empty()) {
        return std::nullopt;
    }
    return found->second->byUrgency.begin()->first.first;
}

std::vector<JobId> JobSchedule::startingBefore(WallTime time, std::size_t limit) const
{
    std::vector<JobId> late;
    for (const auto &[name, queue] : this->queues) {
        for (const auto &[head, tenant] : queue->byUrgency) {
            for (auto job = tenant->jobs.begin(); job != tenant->jobs.end() && job->first.first < time; ++job) {
                if (late.size() == limit) {
                    return late;
                }
                late.push_back(job->second->demand.jobId);
            }
            if (head.first >= time) {
                break;
            }
        }
    }
    return late;
}

} // namespace Dogwoodkeel
