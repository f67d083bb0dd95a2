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

/** Each result changes its job's row; the changes are taken in groups. They tell of ended jobs where the word of it was lost, for
 * which seconds do not matter; and of jobs that fall to another node, for which the store is asked at once when a node goes. */
constexpr std::chrono::milliseconds changesPace{3000};
constexpr std::chrono::milliseconds hurryDelay{100};
constexpr std::chrono::milliseconds settleLook{50};
constexpr std::chrono::milliseconds considerInterval{1000};
/** Several times as long as a change of a job takes to come here. */
constexpr std::chrono::seconds followedAfterRuns{15};
/** Bounds the work of one look; the other jobs have their turn at the next. */
constexpr std::chrono::milliseconds lookInterval{250};
constexpr std::size_t looksAtOnce = 250;
/** So that a datagram fits into one frame of the network. */
constexpr std::size_t jobsInReminder = 16;

} // namespace

JobRunners::JobRunners(GatewayContext &context,
                       RowFeed &rows,
                       JobStore &store,
                       PeerNetwork &peers,
                       const GatewaySettings &settings,
                       std::function<ServingConfigurationPointer()> configuration)
    : context(context)
    , rows(rows)
    , store(store)
    , peers(peers)
    , storeWait(settings.storeWait)
    , endBound(settings.jobEndBound)
    , configuration(std::move(configuration))
    , view(peers.roleView())
    , looks(context.clock)
    , settling(context.clock)
    , lastBusy(context.clock.now())
{
    this->followOpenJobs();
    this->considerFollowing();
    this->lookAtJobs();
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
                                                  changesPace},
                           TableFollower::Hooks{
                               .onSnapshot =
                                   [this](const std::vector<StoredRow> &all) {
                                       this->takeAll(all);
                                   },
                               .onChange =
                                   [this](const StoredRow &row) {
                                       this->takeChange(row);
                                   },
                           });
}

// Only who runs a job, or may take one over, has to know which are open. Were all to know, each change of a job would go to every
// node.
void JobRunners::considerFollowing()
{
    const Member *const own = this->view->find(this->peers.self());
    const bool mayTakeOver = own == nullptr || !own->isReady || hasEnoughProcessor(*this->view, *own);
    const SteadyTime now = this->context.clock.now();
    // A row that names this node may still be on its way when its last run has ended, and then nobody else runs that job.
    const bool isBusy = !this->runs.empty() || now - this->lastBusy < followedAfterRuns;
    if (!this->runs.empty()) {
        this->lastBusy = now;
    }
    if (!mayTakeOver && !isBusy && this->follower) {
        this->follower.reset();
        this->open.clear();
        this->looks.clear();
        this->reminded.clear();
    } else if (mayTakeOver && !this->follower) {
        this->followOpenJobs();
    }
    this->considerTimer = this->context.loop.schedule(considerInterval, [this] {
        this->considerFollowing();
    });
}

JobRunners::~JobRunners()
{
    *this->alive = false;
    this->context.loop.cancel(this->hurryTimer);
    this->context.loop.cancel(this->settleTimer);
    this->context.loop.cancel(this->considerTimer);
    this->context.loop.cancel(this->lookTimer);
    this->stopAll();
}

void JobRunners::takeAll(const std::vector<StoredRow> &rows)
{
    std::set<JobId> listed;
    for (const StoredRow &row : rows) {
        if (const std::optional<JobId> job = JobRows::openJobOf(row.key.key)) {
            listed.insert(*job);
        }
        this->takeChange(row);
    }
    std::vector<JobId> gone;
    for (const auto &[job, row] : this->open) {
        if (!listed.contains(job)) {
            gone.push_back(job);
        }
    }
    for (const JobId &job : gone) {
        this->stopJob(job, RunEnd::NotListed);
    }
    // A job that was accepted here may be closed before its row was ever read. It may also be too new for this reading.
    for (const auto &[job, run] : this->runs) {
        if (!listed.contains(job)) {
            run->checkOpen();
        }
    }
}

void JobRunners::takeChange(const StoredRow &row)
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
    this->looks.postpone(*job);
    this->decide(*job);
}

const Member *JobRunners::presentRunner(const OpenJob &open) const
{
    const Member *const runner = this->view->find(open.runner);
    return runner != nullptr && !runner->isLeaving ? runner : nullptr;
}

bool JobRunners::isOurs(const JobId &job, const OpenJob &open) const
{
    // Its runner keeps it as long as it is there: a change of the members must not make items run twice.
    if (const Member *const runner = this->presentRunner(open)) {
        return runner->session == this->peers.self();
    }
    return hasRole(*this->view, this->peers.self(), stableHash(job.value()));
}

void JobRunners::decide(const JobId &job)
{
    const auto row = this->open.find(job);
    const bool isOurs = !this->isStopped && row != this->open.end() && this->isOurs(job, row->second);
    const auto run = this->runs.find(job);
    const bool isRunning = run != this->runs.end();
    if (isOurs && !isRunning && !this->settling.isStable()) {
        this->decideSettled();
    } else if (isOurs && !isRunning) {
        this->startRun(job, JobRun::Origin::TakenOver);
    } else if (!isOurs && isRunning) {
        run->second->saveProgress();
        this->stopRun(job, RunEnd::HandedOn);
    }
}

void JobRunners::startRun(const JobId &job, JobRun::Origin origin)
{
    JobRun::Hooks hooks{
        .self =
            [this] {
                return this->peers.self();
            },
        .target =
            [this](const JobHead &head, const std::string &target) {
                return this->targetOf(head, target);
            },
        .route = [this](const std::string &name) -> const Route * {
            const ServingConfigurationPointer current = this->configuration();
            return current ? current->findRoute(name) : nullptr;
        },
        .over =
            [this, job, alive = this->alive](RunEnd end) {
                this->context.loop.post([this, job, end, alive] {
                    if (*alive) {
                        this->takeRunEnd(job, end);
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

std::optional<ItemAttempt::Target> JobRunners::targetOf(const JobHead &job, const std::string &target) const
{
    const ServingConfigurationPointer current = this->configuration();
    const Route *const route = current ? current->findRoute(job.host, pathOf(target)) : nullptr;
    if (route == nullptr || route->kind != RouteKind::Batch) {
        return std::nullopt;
    }
    // The same item always goes to the same service of a split, so that a stopped item can go on where it was.
    const double point = std::ldexp(static_cast<double>(stableHash(target) >> 11), -53);
    const RouteTarget *const chosen = selectTarget(*route, point);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const Workspace *const workspace = current->workspaces ? current->workspaces->find(job.workspace) : nullptr;
    return ItemAttempt::Target{chosen->service, priorityOf(*route, workspace), route->longestPause};
}

void JobRunners::setView(const MemberViewPointer &view)
{
    const MemberViewPointer before = std::exchange(this->view, view);
    const bool isAnyGone = std::ranges::any_of(before->members(), [&view](const Member &member) {
        const Member *const now = view->find(member.session);
        return !member.isLeaving && (now == nullptr || now->isLeaving);
    });
    if (isAnyGone && this->hurryTimer == 0) {
        // Where many go at once, the deaths are heard one by one.
        this->hurryTimer = this->context.loop.schedule(hurryDelay, [this] {
            this->hurryTimer = 0;
            this->hurry();
        });
    }
    this->settling.update(*view);
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

// Taken over while views differ, a job would be run by several nodes: replicas and the store would do its work several times,
// just when all callers come back.
void JobRunners::decideSettled()
{
    if (this->settleTimer != 0) {
        return;
    }
    this->settleTimer = this->context.loop.schedule(settleLook, [this] {
        this->settleTimer = 0;
        this->decideAll();
    });
}

void JobRunners::hurry()
{
    if (this->follower) {
        this->follower->refresh();
    }
}

void JobRunners::takeAccepted(const JobId &job)
{
    // The row that names this node as the runner is read back later; the items need not wait for that. A job that was
    // accepted before may be run elsewhere, or be complete: the row, or the job itself, tells.
    if (!this->isStopped && !this->open.contains(job) && !this->runs.contains(job)) {
        this->startRun(job, JobRun::Origin::Accepted);
        return;
    }
    std::string_view reason = "its open row tells who runs it";
    if (this->isStopped) {
        reason = "this node is leaving";
    } else if (this->runs.contains(job)) {
        reason = "it runs here already";
    }
    log(LogLevel::Info, "no new run of an accepted job", {{"job", job.value()}, {"reason", std::string(reason)}});
    this->decide(job);
}

void JobRunners::takeReminder(const std::vector<JobId> &jobs)
{
    for (const JobId &job : jobs) {
        if (!this->runs.contains(job)) {
            const std::string_view decision = this->takeReminder(job);
            log(LogLevel::Info,
                "reminded of a job that does not run here",
                {{"job", job.value()}, {"decision", std::string(decision)}});
        }
    }
}

std::string_view JobRunners::takeReminder(const JobId &job)
{
    if (this->isStopped) {
        return "none: this node is leaving";
    }
    // For as long as there are reminders, the rows are followed: this node's own copy of them may be behind.
    this->lastBusy = this->context.clock.now();
    if (!this->follower) {
        this->followOpenJobs();
        return "read the open jobs";
    }
    const auto row = this->open.find(job);
    if (row == this->open.end()) {
        return "none: no open row of it is known yet, or no more";
    }
    if (!this->isOurs(job, row->second)) {
        return "none: its open row names another node";
    }
    this->decide(job);
    return this->runs.contains(job) ? "run it" : "run it once the members have settled";
}

void JobRunners::lookAtJobs()
{
    std::map<SessionNumber, JobReminder> reminders;
    for (const JobId &job : this->looks.popDue(looksAtOnce)) {
        this->look(job, reminders);
    }
    for (const auto &[runner, reminder] : reminders) {
        if (!reminder.jobs.empty()) {
            this->peers.datagrams().send(this->view->find(runner)->gossip, reminder);
        }
    }
    this->lookTimer = this->context.loop.schedule(lookInterval, [this] {
        this->lookAtJobs();
    });
}

void JobRunners::look(const JobId &job, std::map<SessionNumber, JobReminder> &reminders)
{
    const auto row = this->open.find(job);
    if (this->isStopped || row == this->open.end()) {
        return;
    }
    const Member *const runner = this->presentRunner(row->second);
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
    if (reminder.jobs.size() == jobsInReminder) {
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
             {"reason", "its open row names a member; it is reminded while the row stands still"}});
    }
}

bool JobRunners::isOpen(const JobId &job) const
{
    return this->open.contains(job) || this->runs.contains(job);
}

void JobRunners::stopJob(const JobId &job, RunEnd end)
{
    this->open.erase(job);
    this->looks.remove(job);
    this->reminded.erase(job);
    this->stopRun(job, end);
}

void JobRunners::takeRunEnd(const JobId &job, RunEnd end)
{
    if (end == RunEnd::Absent) {
        // The store may have answered with what it knew earlier. While the open row is there, it is looked at again.
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
