#include <Services/Gateway/JobStore.h>

#include <LibBase/Log.h>
#include <LibPlatform/ReadAllRows.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Max rows of content in one transaction beside its other rows; larger content is stored as an object. */
constexpr std::size_t maxContentRows = 12;
/** Of submissions that collide on one route, each round lets one succeed. An unreachable store may return before the caller's
 * deadline, which bounds the tries too. */
constexpr int maxTries = 60;
/** One failure may be a connection that the store had closed. After a second one the store counts as unreachable, and the caller
 * is refused at once, so that it has time left to retry. */
constexpr int maxUnanswered = 2;
constexpr std::chrono::milliseconds minPause{5};
constexpr std::chrono::milliseconds maxPause{250};
/** The answer is sent this long before the caller's deadline, so that it still arrives in time. */
constexpr std::chrono::milliseconds answerMargin{100};
constexpr std::size_t maxTotals = 50000;

std::uint64_t tokensOf(const std::vector<JobItem> &items)
{
    return std::accumulate(items.begin(), items.end(), std::uint64_t(0), [](std::uint64_t sum, const JobItem &item) {
        return sum + item.tokens;
    });
}

} // namespace

struct JobStore::PendingSubmission
{
    Submission submission;
    std::uint64_t tokens = 0;
    std::vector<std::string> chunks;
    int tries = 0;
    /** Calls to the store that failed and changed nothing. */
    int unanswered = 0;
    /** A write without an answer may still take effect; from then on the job cannot be reported as not stored. */
    bool mayBeWritten = false;
    std::function<void(SubmitOutcome)> done;
};

struct JobStore::PendingEnd
{
    JobId job;
    SteadyTime deadline;
    int tries = 0;
    std::function<void(JobReadOutcome)> done;
};

JobStore::JobStore(Scheduler &scheduler,
                   const Clock &clock,
                   RowStore &store,
                   const StoreClock &storeClock,
                   std::function<SessionNumber()> self,
                   std::size_t rowBytes,
                   std::uint64_t seed)
    : scheduler(scheduler)
    , clock(clock)
    , store(store)
    , storeClock(storeClock)
    , self(std::move(self))
    , rowBytes(rowBytes)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

JobStore::~JobStore()
{
    *this->alive = false;
}

std::chrono::milliseconds JobStore::pause(int tries)
{
    const auto upper = std::min(minPause * (1 << std::min(tries, 8)), maxPause);
    std::uniform_int_distribution<std::int64_t> spread(upper.count() / 2, upper.count());
    return std::chrono::milliseconds(spread(this->random));
}

void JobStore::submit(Submission submission, std::function<void(SubmitOutcome)> done)
{
    const auto submitting = std::make_shared<PendingSubmission>();
    submitting->tokens = tokensOf(submission.items);
    submitting->submission = std::move(submission);
    submitting->done = std::move(done);
    this->storeContent(submitting);
}

void JobStore::storeContent(const std::shared_ptr<PendingSubmission> &submitting)
{
    JobContent content;
    for (const JobItem &item : submitting->submission.items) {
        content.items.push_back(JobRows::recordOf(item));
    }
    std::string encoded = encode(content);
    submitting->chunks = JobRows::split(encoded, this->rowBytes);
    if (submitting->chunks.size() <= maxContentRows) {
        this->checkCapacity(submitting);
        return;
    }
    submitting->chunks.clear();
    const std::string name = JobRows::contentObject(submitting->submission.id);
    this->store.putObject(name, std::move(encoded), [this, alive = this->alive, submitting](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        // An object counts only with a row that names it: even if this write took effect, no job is stored yet.
        if (outcome != WriteOutcome::Done) {
            submitting->done(SubmitOutcome::NotStored);
            return;
        }
        this->checkCapacity(submitting);
    });
}

void JobStore::checkCapacity(const std::shared_ptr<PendingSubmission> &submitting)
{
    const std::uint64_t limit = submitting->submission.waitingTokensLimit;
    if (limit == 0 && this->storeClock.now()) {
        this->write(submitting, 0, 0);
        return;
    }
    const RowRange all{JobRows::openTable, "", "", "", 0};
    readAllRows(this->store, all, [this, alive = this->alive, submitting, limit](const RowRangeResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome != ReadOutcome::Found) {
            this->retryUnanswered(submitting);
            return;
        }
        const Submission &submission = submitting->submission;
        const RowKey order = JobRows::acceptanceOrder(submission.route, submission.workspace);
        std::uint64_t waiting = 0;
        RowVersion orderVersion = 0;
        bool isKnown = false;
        for (const StoredRow &row : result.rows) {
            const std::optional<OpenJob> open = JobRows::openJobOf(row.key.key) ? decode<OpenJob>(row.value) : std::nullopt;
            const bool isCounted = open && open->route == submission.route && open->workspace == submission.workspace;
            waiting += isCounted ? open->waitingTokens : 0;
            isKnown = isKnown || row.key == JobRows::open(submission.id);
            orderVersion = row.key == order ? row.version : orderVersion;
        }
        if (isKnown) {
            this->handleFound(submitting);
        } else if (limit > 0 && waiting + submitting->tokens > limit) {
            this->confirm(submitting, SubmitOutcome::Full);
        } else {
            this->write(submitting, waiting, orderVersion);
        }
    });
}

void JobStore::write(const std::shared_ptr<PendingSubmission> &submitting, std::uint64_t waiting, RowVersion orderVersion)
{
    const std::optional<StoreTime> now = this->storeClock.now();
    if (!now) {
        // The store has answered, but without its time: the age of the job would be unknown.
        this->retry(submitting, SubmitOutcome::NotStored);
        return;
    }
    const Submission &submission = submitting->submission;
    JobHead head;
    head.route = submission.route;
    head.host = submission.host;
    head.workspace = submission.workspace;
    head.submitted = *now;
    head.total = static_cast<std::uint32_t>(submission.items.size());
    head.contentChunks = static_cast<std::uint32_t>(submitting->chunks.size());
    const OpenJob open{submission.route, submission.workspace, submitting->tokens, this->self()};
    RowTransaction transaction;
    transaction.expectations.push_back({JobRows::head(submission.id), 0});
    transaction.puts.push_back({JobRows::head(submission.id), encode(head)});
    transaction.puts.push_back({JobRows::open(submission.id), encode(open)});
    for (std::uint32_t chunk = 0; chunk < submitting->chunks.size(); ++chunk) {
        transaction.puts.push_back({JobRows::contentChunk(submission.id, chunk), submitting->chunks[chunk]});
    }
    if (submission.waitingTokensLimit > 0) {
        // Each acceptance changes this row, so that two nodes can't both use the last capacity.
        const RowKey order = JobRows::acceptanceOrder(submission.route, submission.workspace);
        transaction.expectations.push_back({order, orderVersion});
        transaction.puts.push_back({order, std::to_string(waiting + submitting->tokens)});
    }
    this->store.transact(std::move(transaction), [this, alive = this->alive, submitting](const RowTransactionResult &result) {
        if (*alive) {
            this->handleWritten(submitting, result);
        }
    });
}

void JobStore::handleWritten(const std::shared_ptr<PendingSubmission> &submitting, const RowTransactionResult &result)
{
    const JobId &job = submitting->submission.id;
    switch (result.outcome) {
    case WriteOutcome::Done:
        this->totals[job] = submitting->submission.items.size();
        submitting->done(SubmitOutcome::Accepted);
        return;
    case WriteOutcome::Refused: {
        const bool isKnown = std::ranges::any_of(result.current, [&job](const StoredRow &row) {
            return row.key == JobRows::head(job) && row.version > 0 && !row.isRemoved;
        });
        if (isKnown) {
            this->handleFound(submitting);
            return;
        }
        this->retry(submitting, SubmitOutcome::NotStored);
        return;
    }
    case WriteOutcome::NotApplied:
        this->retryUnanswered(submitting);
        return;
    case WriteOutcome::Unknown:
        submitting->mayBeWritten = true;
        this->confirm(submitting, SubmitOutcome::Unknown);
        return;
    }
}

void JobStore::confirm(const std::shared_ptr<PendingSubmission> &submitting, SubmitOutcome otherwise)
{
    this->loadHead(submitting->submission.id, [this, submitting, otherwise](const LoadedJob &loaded) {
        if (loaded.outcome == JobReadOutcome::Found) {
            this->handleFound(submitting);
        } else if (loaded.outcome == JobReadOutcome::Absent && otherwise == SubmitOutcome::Full) {
            submitting->done(submitting->mayBeWritten ? SubmitOutcome::Unknown : SubmitOutcome::Full);
        } else {
            this->retry(submitting, otherwise == SubmitOutcome::Full ? SubmitOutcome::NotStored : otherwise);
        }
    });
}

// The job that was found may have been stored by this submission's unanswered write; then its open row names this node.
void JobStore::handleFound(const std::shared_ptr<PendingSubmission> &submitting)
{
    if (!submitting->mayBeWritten) {
        submitting->done(SubmitOutcome::Known);
        return;
    }
    const RowKey key = JobRows::open(submitting->submission.id);
    this->store.read(JobRows::openOnly(submitting->submission.id),
                     [this, alive = this->alive, submitting, key](const RowRangeResult &result) {
                         if (!*alive) {
                             return;
                         }
                         const bool isLocal = std::ranges::any_of(result.rows, [this, &key](const StoredRow &row) {
                             const std::optional<OpenJob> open = row.key == key ? decode<OpenJob>(row.value) : std::nullopt;
                             return open && open->runner == this->self();
                         });
                         submitting->done(isLocal ? SubmitOutcome::Accepted : SubmitOutcome::Known);
                     });
}

void JobStore::retry(const std::shared_ptr<PendingSubmission> &submitting, SubmitOutcome otherwise)
{
    const std::chrono::milliseconds delay = this->pause(submitting->tries);
    const bool hasTime = this->clock.now() + delay + answerMargin < submitting->submission.deadline;
    if (++submitting->tries > maxTries || !hasTime) {
        submitting->done(submitting->mayBeWritten ? SubmitOutcome::Unknown : otherwise);
        return;
    }
    this->scheduler.schedule(delay, [this, alive = this->alive, submitting] {
        if (*alive) {
            this->checkCapacity(submitting);
        }
    });
}

void JobStore::retryUnanswered(const std::shared_ptr<PendingSubmission> &submitting)
{
    ++submitting->unanswered;
    if (submitting->unanswered >= maxUnanswered && !submitting->mayBeWritten) {
        submitting->done(SubmitOutcome::NotStored);
        return;
    }
    this->retry(submitting, SubmitOutcome::NotStored);
}

void JobStore::readResults(const JobId &job, std::uint64_t from, std::function<void(JobResults)> done)
{
    const auto known = this->totals.find(job);
    if (known == this->totals.end()) {
        this->loadHead(job, [this, job, from, done = std::move(done)](const LoadedJob &loaded) {
            if (loaded.outcome != JobReadOutcome::Found) {
                done({loaded.outcome, 0, {}});
                return;
            }
            this->readResults(job, from, done);
        });
        return;
    }
    const std::uint64_t total = known->second;
    this->store.read(JobRows::resultsFrom(job, from),
                     [alive = this->alive, from, total, done = std::move(done)](const RowRangeResult &result) {
                         if (!*alive) {
                             return;
                         }
                         JobResults read;
                         read.total = total;
                         if (result.outcome == ReadOutcome::Found) {
                             read.outcome = JobReadOutcome::Found;
                             read.results = JobRows::readResults(result.rows, from);
                         }
                         done(std::move(read));
                     });
}

void JobStore::loadHead(const JobId &job, std::function<void(LoadedJob)> done)
{
    this->store.read(JobRows::headOnly(job),
                     [this, alive = this->alive, job, done = std::move(done)](const RowRangeResult &result) {
                         if (!*alive) {
                             return;
                         }
                         LoadedJob loaded;
                         if (result.outcome == ReadOutcome::Found) {
                             const auto head = JobRows::readHead(result.rows, job);
                             loaded.outcome = head ? JobReadOutcome::Found : JobReadOutcome::Absent;
                             if (head) {
                                 loaded.head = head->first;
                                 loaded.version = head->second;
                                 if (this->totals.size() > maxTotals) {
                                     this->totals.clear();
                                 }
                                 this->totals[job] = head->first.total;
                             }
                         }
                         done(std::move(loaded));
                     });
}

void JobStore::load(const JobId &job, std::function<void(LoadedJob)> done)
{
    const auto finish = [done = std::move(done)](LoadedJob loaded, const std::optional<JobContent> &content) {
        if (!content) {
            loaded.outcome = JobReadOutcome::Failed;
            done(std::move(loaded));
            return;
        }
        for (const JobItemRecord &record : content->items) {
            loaded.items.push_back(JobRows::itemOf(record));
        }
        done(std::move(loaded));
    };
    this->store.read(JobRows::headAndContent(job), [this, alive = this->alive, job, finish](const RowRangeResult &result) {
        if (!*alive) {
            return;
        }
        const auto head = JobRows::readHead(result.rows, job);
        LoadedJob loaded;
        if (result.outcome != ReadOutcome::Found || !head) {
            loaded.outcome = result.outcome == ReadOutcome::Found ? JobReadOutcome::Absent : JobReadOutcome::Failed;
            finish(std::move(loaded), JobContent{});
            return;
        }
        loaded.outcome = JobReadOutcome::Found;
        loaded.head = head->first;
        loaded.version = head->second;
        if (head->first.contentChunks > 0) {
            finish(std::move(loaded), JobRows::readContent(result.rows, head->first.contentChunks));
            return;
        }
        this->store.readObject(JobRows::contentObject(job),
                               [alive, loaded, finish](ReadOutcome outcome, const std::string &text) {
                                   if (*alive) {
                                       finish(loaded, outcome == ReadOutcome::Found ? decode<JobContent>(text) : std::nullopt);
                                   }
                               });
    });
}

void JobStore::end(const JobId &job, SteadyTime deadline, std::function<void(JobReadOutcome)> done)
{
    this->tryEnd(std::make_shared<PendingEnd>(PendingEnd{job, deadline, 0, std::move(done)}));
}

void JobStore::tryEnd(const std::shared_ptr<PendingEnd> &ending)
{
    this->loadHead(ending->job, [this, ending](LoadedJob loaded) {
        if (loaded.outcome == JobReadOutcome::Absent || loaded.head.isEnded) {
            ending->done(loaded.outcome);
            return;
        }
        if (loaded.outcome == JobReadOutcome::Failed) {
            this->retryEnd(ending);
            return;
        }
        loaded.head.isEnded = true;
        this->update(
            ending->job, loaded.version, loaded.head, {}, std::nullopt, [this, ending](WriteOutcome outcome, RowVersion) {
                if (outcome == WriteOutcome::Done) {
                    ending->done(JobReadOutcome::Found);
                    return;
                }
                this->retryEnd(ending);
            });
    });
}

void JobStore::retryEnd(const std::shared_ptr<PendingEnd> &ending)
{
    const std::chrono::milliseconds delay = this->pause(ending->tries++);
    if (this->clock.now() + delay + answerMargin > ending->deadline) {
        ending->done(JobReadOutcome::Failed);
        return;
    }
    this->scheduler.schedule(delay, [this, alive = this->alive, ending] {
        if (*alive) {
            this->tryEnd(ending);
        }
    });
}

void JobStore::update(const JobId &job,
                      RowVersion version,
                      const JobHead &head,
                      const std::vector<ItemResult> &results,
                      const std::optional<OpenJob> &open,
                      std::function<void(WriteOutcome, RowVersion)> done)
{
    RowTransaction transaction;
    transaction.expectations.push_back({JobRows::head(job), version});
    transaction.puts.push_back({JobRows::head(job), encode(head)});
    std::uint64_t position = head.finishedItems.size() - results.size();
    for (const ItemResult &result : results) {
        const std::vector<RowPut> puts = JobRows::putResult(job, position++, result, this->rowBytes);
        transaction.puts.insert(transaction.puts.end(), puts.begin(), puts.end());
    }
    if (open) {
        transaction.puts.push_back({JobRows::open(job), encode(*open)});
    } else {
        transaction.removals.push_back(JobRows::open(job));
    }
    this->store.transact(std::move(transaction),
                         [alive = this->alive, done = std::move(done)](const RowTransactionResult &result) {
                             if (*alive) {
                                 done(result.outcome, result.version);
                             }
                         });
}

void JobStore::readProgress(const JobId &job,
                            std::function<void(std::optional<std::map<std::uint32_t, JobRows::Generated>>)> done)
{
    this->store.read(JobRows::progressOf(job), [alive = this->alive, done = std::move(done)](const RowRangeResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome != ReadOutcome::Found) {
            done(std::nullopt);
            return;
        }
        done(JobRows::readProgress(result.rows));
    });
}

void JobStore::saveProgress(const JobId &job, const std::vector<ItemProgress> &parts)
{
    RowTransaction transaction;
    for (const ItemProgress &part : parts) {
        transaction.puts.push_back({JobRows::progress(job, part), encode(part)});
    }
    this->store.transact(std::move(transaction), [job](const RowTransactionResult &result) {
        if (result.outcome != WriteOutcome::Done) {
            log(LogLevel::Debug,
                "progress of batch items not stored",
                {{"job", job.value()}, {"outcome", static_cast<std::int64_t>(result.outcome)}});
        }
    });
}

} // namespace Dogwoodkeel
