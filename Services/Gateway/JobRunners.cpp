#include <Services/Gateway/JobRunners.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <LibWire/Codec.h>
#include <platform/RequestFormat.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Each result changes its job's row, so changes are read in groups. They show the end of jobs whose report was lost, where
 * seconds do not matter, and jobs that move to another node, for which the store is read at once when a node departs. */
constexpr std::chrono::milliseconds changeInterval{3000};
constexpr std::chrono::milliseconds refreshDelay{100};
constexpr std::chrono::milliseconds stabilityCheckInterval{50};
constexpr std::chrono::milliseconds followingInterval{1000};
/** How long a node follows the open jobs after its last run: several times the delay with which a change of a row arrives. */
constexpr std::chrono::seconds followedAfterRun{15};
/** The max number bounds the work of one check; the remaining jobs follow at the next. */
constexpr std::chrono::milliseconds checkInterval{250};
constexpr std::size_t maxJobsPerCheck = 250;
/** Max jobs in one reminder, so that its datagram fits into one network frame. */
constexpr std::size_t maxJobsInReminder = 16;

} // namespace

JobRunners::JobRunners(GatewayContext &context,
                       RowFeed &rows,
                       JobStore &store,
                       PeerNetwork &peers,
                       const GatewaySettings &settings,
                       ConfigurationSource configuration)
    : context(context)
    , rows(rows)
    , store(store)
    , peers(peers)
    , storeWait(settings.storeWait)
    , endBound(settings.jobEndBound)
    , configuration(std::move(configuration))
    , view(peers.roleView())
    , checkSchedule(context.clock)
    , viewStability(context.clock)
    , lastBusy(context.clock.now())
{
    this->followOpenJobs();
    this->updateFollowing();
    this->checkJobs();
}

void JobRunners::followOpenJobs()
{
    this->follower.emplace(this->context.loop,
                           this->rows,
                           stableHash(JobRows::openTable) ^ this->peers.self().value(),
                           TableFollower::Options{JobRows::openTable,
                                                  [storeWait = this->storeWait] {
                                                      return storeWait;
                                                  },
                                                  changeInterval},
                           TableFollower::Hooks{
                               .onSnapshot =
                                   [this](const std::vector<StoredRow> &all) {
                                       this->applySnapshot(all);
                                   },
                               .onChange =
                                   [this](const StoredRow &row) {
                                       this->applyChange(row);
                                   },
                           });
}

// Only nodes that run a job, or may take one over, follow the open jobs. Otherwise each change of a job would be sent to every
// node.
void JobRunners::updateFollowing()
{
    const Member *const own = this->view->find(this->peers.self());
    const bool mayTakeOver = own == nullptr || !own->isReady || hasEnoughProcessor(*this->view, *own);
    const SteadyTime now = this->context.clock.now();
    // A row that names this node may arrive after its last run has ended; no other node runs that job.
    const bool isBusy = !this->runs.empty() || now - this->lastBusy < followedAfterRun;
    if (!this->runs.empty()) {
        this->lastBusy = now;
    }
    if (!mayTakeOver && !isBusy && this->follower) {
        this->follower.reset();
        this->open.clear();
        this->checkSchedule.clear();
        this->reminded.clear();
    } else if (mayTakeOver && !this->follower) {
        this->followOpenJobs();
    }
    this->followingTimer = this->context.loop.schedule(followingInterval, [this] {
        this->updateFollowing();
    });
}

JobRunners::~JobRunners()
{
    *this->alive = false;
    this->context.loop.cancel(this->refreshTimer);
    this->context.loop.cancel(this->stabilityTimer);
    this->context.loop.cancel(this->followingTimer);
    this->context.loop.cancel(this->checkTimer);
    this->stopAll();
}

void JobRunners::applySnapshot(const std::vector<StoredRow> &rows)
{
    std::set<JobId> listed;
    for (const StoredRow &row : rows) {
        if (const std::optional<JobId> job = JobRows::openJobOf(row.key.key)) {
            listed.insert(*job);
        }
        this->applyChange(row);
    }
    std::vector<JobId> removed;
    for (const auto &[job, row] : this->open) {
        if (!listed.contains(job)) {
            removed.push_back(job);
        }
    }
    for (const JobId &job : removed) {
        this->stopJob(job, RunEnd::NotListed);
    }
    // A job accepted here may have been closed before its row was read, or may be newer than this snapshot.
    for (const auto &[job, run] : this->runs) {
        if (!listed.contains(job)) {
            run->checkOpen();
        }
    }
}

void JobRunners::applyChange(const StoredRow &row)
{
    const std::optional<JobId> job = JobRows::openJobOf(row.key.key);
    if (!job) {
        return;
    }
    if (row.isRemoved) {
        this->stopJob(*job, RunEnd::RowRemoved);
        return;
    }
    const std::optional<OpenJob> decoded = decode<OpenJob>(row.value);
    if (!decoded) {
        log(LogLevel::Error, "unreadable row of an open job", {{"job", job->value()}});
        return;
    }
    this->open.insert_or_assign(*job, *decoded);
    this->checkSchedule.postpone(*job);
    this->decide(*job);
}

const Member *JobRunners::activeRunner(const OpenJob &open) const
{
    const Member *const runner = this->view->find(open.runner);
    return runner != nullptr && !runner->isLeaving ? runner : nullptr;
}

bool JobRunners::isLocal(const JobId &job, const OpenJob &open) const
{
    // The runner keeps its job while it is a member, so that a change of other members does not make items run twice.
    if (const Member *const runner = this->activeRunner(open)) {
        return runner->session == this->peers.self();
    }
    return hasRole(*this->view, this->peers.self(), stableHash(job.value()));
}

void JobRunners::decide(const JobId &job)
{
    const auto row = this->open.find(job);
    const bool isLocal = !this->isStopped && row != this->open.end() && this->isLocal(job, row->second);
    const auto run = this->runs.find(job);
    const bool isRunning = run != this->runs.end();
    if (isLocal && !isRunning && !this->viewStability.isStable()) {
        this->decideOnceStable();
    } else if (isLocal && !isRunning) {
        this->startRun(job, JobRun::Origin::TakenOver);
    } else if (!isLocal && isRunning) {
        run->second->saveProgress();
        this->stopRun(job, RunEnd::HandedOver);
    }
}

void JobRunners::startRun(const JobId &job, JobRun::Origin origin)
{
    JobRun::Hooks hooks{
        .self =
            [this] {
                return this->peers.self();
            },
        .configurationVersion =
            [this] {
                const ServingConfigurationPointer current = this->configuration.current();
                return current ? current->version : 0;
            },
        .routing =
            [this](const JobHead &head, const std::string &target) {
                return this->routingOf(head, target);
            },
        .limitingRoute =
            [this](const JobHead &head, const std::string &target) {
                return this->limitingRouteOf(head, target);
            },
        .runEnded =
            [this, job, alive = this->alive](RunEnd end) {
                this->context.loop.post([this, job, end, alive] {
                    if (*alive) {
                        this->handleRunEnd(job, end);
                    }
                });
            },
    };
    if (!this->follower) {
        this->followOpenJobs();
    }
    this->lastBusy = this->context.clock.now();
    const auto run = std::make_shared<JobRun>(this->context, this->store, job, this->endBound, std::move(hooks));
    this->runs.emplace(job, run);
    log(LogLevel::Info,
        "run of a job begins",
        {{"job", job.value()},
         {"reason", origin == JobRun::Origin::Accepted ? "accepted here" : "its open row falls to this node"},
         {"is_row_known", this->open.contains(job)}});
    run->start(origin);
}

const Route *JobRunners::limitingRouteOf(const JobHead &job, const std::string &target) const
{
    const ServingConfigurationPointer current = this->configuration.current();
    if (!current) {
        return nullptr;
    }
    const Route *const named = current->findBatchRoute(job.route);
    return named != nullptr ? named : current->findBatchRoute(job.host, pathOf(target));
}

ItemAttempt::Routing JobRunners::routingOf(const JobHead &job, const std::string &target) const
{
    const ServingConfigurationPointer current = this->configuration.current();
    if (!current || this->configuration.isOutdated()) {
        return {};
    }
    const Route *const route = current->findBatchRoute(job.host, pathOf(target));
    if (route == nullptr) {
        // If the job's route has another path now, the retention of that route ends the item.
        return {std::nullopt, current->findBatchRoute(job.route) == nullptr};
    }
    // An item always gets the same service of a split, so that a stopped item can continue from its last event.
    const double point = std::ldexp(static_cast<double>(stableHash(target) >> 11), -53);
    const RouteTarget *const selected = selectTarget(*route, point);
    if (selected == nullptr) {
        return {};
    }
    const Workspace *const workspace = current->workspaces ? current->workspaces->find(job.workspace) : nullptr;
    const double weight = workspace != nullptr ? current->workspaces->shareWeight(*workspace) : 1;
    return {ItemAttempt::Target{selected->service, priorityOf(*route, workspace), route->longestPause, weight}, false};
}

void JobRunners::setView(const MemberViewPointer &view)
{
    const MemberViewPointer before = std::exchange(this->view, view);
    const bool hasAnyLeft = std::ranges::any_of(before->members(), [&view](const Member &member) {
        const Member *const now = view->find(member.session);
        return !member.isLeaving && (now == nullptr || now->isLeaving);
    });
    if (hasAnyLeft && this->refreshTimer == 0) {
        // If many members fail at once, their failures are reported one by one.
        this->refreshTimer = this->context.loop.schedule(refreshDelay, [this] {
            this->refreshTimer = 0;
            this->refreshOpenJobs();
        });
    }
    this->viewStability.update(*view);
    this->decideAll();
}

void JobRunners::decideAll()
{
    std::vector<JobId> jobs;
    for (const auto &[job, row] : this->open) {
        jobs.push_back(job);
    }
    for (const JobId &job : jobs) {
        this->decide(job);
    }
}

// If jobs were taken over while the views of the nodes differ, several nodes would run the same job. Replicas and the store would
// do its work several times, just when all callers reconnect.
void JobRunners::decideOnceStable()
{
    if (this->stabilityTimer != 0) {
        return;
    }
    this->stabilityTimer = this->context.loop.schedule(stabilityCheckInterval, [this] {
        this->stabilityTimer = 0;
        this->decideAll();
    });
}

void JobRunners::refreshOpenJobs()
{
    if (this->follower) {
        this->follower->refresh();
    }
}

void JobRunners::handleAccepted(const JobId &job)
{
    // The row that names this node as the runner is read later; the items do not wait for it. A job that was accepted before
    // may run at another node, or be complete; its row or its head shows that.
    if (!this->isStopped && !this->open.contains(job) && !this->runs.contains(job)) {
        this->startRun(job, JobRun::Origin::Accepted);
        return;
    }
    std::string_view reason = "its open row names the node that runs it";
    if (this->isStopped) {
        reason = "this node is leaving";
    } else if (this->runs.contains(job)) {
        reason = "it runs here already";
    }
    log(LogLevel::Info, "no new run of an accepted job", {{"job", job.value()}, {"reason", std::string(reason)}});
    this->decide(job);
}

void JobRunners::handleReminder(const std::vector<JobId> &jobs)
{
    for (const JobId &job : jobs) {
        if (!this->runs.contains(job)) {
            const std::string_view decision = this->handleReminder(job);
            log(LogLevel::Info,
                "reminded of a job that does not run here",
                {{"job", job.value()}, {"decision", std::string(decision)}});
        }
    }
}

std::string_view JobRunners::handleReminder(const JobId &job)
{
    if (this->isStopped) {
        return "none: this node is leaving";
    }
    // The rows are followed as long as reminders arrive, as this node's copy of them may be outdated.
    this->lastBusy = this->context.clock.now();
    if (!this->follower) {
        this->followOpenJobs();
        return "read the open jobs";
    }
    const auto row = this->open.find(job);
    if (row == this->open.end()) {
        return "none: no open row of it is known";
    }
    if (!this->isLocal(job, row->second)) {
        return "none: its open row names another node";
    }
    this->decide(job);
    return this->runs.contains(job) ? "run it" : "run it once the view of the members is stable";
}

void JobRunners::checkJobs()
{
    std::map<SessionNumber, JobReminder> reminders;
    for (const JobId &job : this->checkSchedule.popDue(maxJobsPerCheck)) {
        this->checkJob(job, reminders);
    }
    for (const auto &[runner, reminder] : reminders) {
        if (!reminder.jobs.empty()) {
            this->peers.datagrams().send(this->view->find(runner)->gossip, reminder);
        }
    }
    this->checkTimer = this->context.loop.schedule(checkInterval, [this] {
        this->checkJobs();
    });
}

void JobRunners::checkJob(const JobId &job, std::map<SessionNumber, JobReminder> &reminders)
{
    const auto row = this->open.find(job);
    if (this->isStopped || row == this->open.end()) {
        return;
    }
    const Member *const runner = this->activeRunner(row->second);
    if (runner == nullptr || runner->session == this->peers.self()) {
        this->decide(job);
        return;
    }
    if (!hasRole(*this->view, this->peers.self(), stableHash(job.value()))) {
        return;
    }
    this->reportReminder(job, runner->session);
    JobReminder &reminder = reminders[runner->session];
    reminder.jobs.push_back(job);
    if (reminder.jobs.size() == maxJobsInReminder) {
        this->peers.datagrams().send(runner->gossip, std::exchange(reminder, {}));
    }
}

void JobRunners::reportReminder(const JobId &job, SessionNumber runner)
{
    const auto [entry, isNew] = this->reminded.emplace(job, runner);
    if (isNew || std::exchange(entry->second, runner) != runner) {
        log(LogLevel::Info,
            "open job left to its runner",
            {{"job", job.value()},
             {"runner", std::to_string(runner.value())},
             {"reason", "its open row names a member; it is reminded while the row does not change"}});
    }
}

bool JobRunners::isOpen(const JobId &job) const
{
    return this->open.contains(job) || this->runs.contains(job);
}

void JobRunners::stopJob(const JobId &job, RunEnd end)
{
    this->open.erase(job);
    this->checkSchedule.remove(job);
    this->reminded.erase(job);
    this->stopRun(job, end);
}

void JobRunners::handleRunEnd(const JobId &job, RunEnd end)
{
    if (end == RunEnd::Absent) {
        // The store may have answered with outdated data. While the open row exists, the job is checked again.
        this->stopRun(job, end);
        return;
    }
    this->stopJob(job, end);
}

void JobRunners::stopRun(const JobId &job, RunEnd end)
{
    const auto found = this->runs.find(job);
    if (found != this->runs.end()) {
        const std::shared_ptr<JobRun> run = found->second;
        this->runs.erase(found);
        run->cancel(end);
    }
}

void JobRunners::stopAll()
{
    this->isStopped = true;
    for (const auto &[job, run] : std::exchange(this->runs, {})) {
        run->saveProgress();
        run->cancel(RunEnd::NodeLeaving);
    }
}

} // namespace Dogwoodkeel
