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

/** Rows of content that one transaction takes beside its others; what needs more goes into an object. */
constexpr std::size_t mostContentRows = 12;
/** Two submissions on one route at the same moment collide; each round lets one of them through. A store that is away may
 * be back before the caller's time is over, which bounds the tries too. */
constexpr int mostTries = 60;
/** One failure may be a connection that the store had closed. After a second one the store is taken to be away for longer, and
 * the caller is sent away while it has time to come back: held to the end of its time, it could not. */
constexpr int mostUnanswered = 2;
constexpr std::chrono::milliseconds firstPause{5};
constexpr std::chrono::milliseconds longestPause{250};
/** Kept back from the caller's time, so that the answer still reaches it. */
constexpr std::chrono::milliseconds answerMargin{100};
constexpr std::size_t totalsKept = 50000;

std::uint64_t tokensOf(const std::vector<JobItem> &items)
{
    return std::accumulate(items.begin(), items.end(), std::uint64_t(0), [](std::uint64_t sum, const JobItem &item) {
        return sum + item.tokens;
    });
}

} // namespace

struct JobStore::Submitting
{
    Submission submission;
    std::uint64_t tokens = 0;
    std::vector<std::string> pieces;
    int tries = 0;
    /** Calls to the store that failed and changed nothing. */
    int unanswered = 0;
    /** A write without an answer may still take effect: from then on nothing may be promised. */
    bool isMaybeWritten = false;
    std::function<void(SubmitOutcome)> done;
};

struct JobStore::Ending
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
    const auto most = std::min(firstPause * (1 << std::min(tries, 8)), longestPause);
    std::uniform_int_distribution<std::int64_t> spread(most.count() / 2, most.count());
    return std::chrono::milliseconds(spread(this->random));
}

void JobStore::submit(Submission submission, std::function<void(SubmitOutcome)> done)
{
    const auto submitting = std::make_shared<Submitting>();
    submitting->tokens = tokensOf(submission.items);
    submitting->submission = std::move(submission);
    submitting->done = std::move(done);
    this->storeContent(submitting);
}

void JobStore::storeContent(const std::shared_ptr<Submitting> &submitting)
{
    JobContent content;
    for (const JobItem &item : submitting->submission.items) {
        content.items.push_back(JobRows::recordOf(item));
    }
    std::string encoded = encode(content);
    submitting->pieces = JobRows::split(encoded, this->rowBytes);
    if (submitting->pieces.size() <= mostContentRows) {
        this->checkRoom(submitting);
        return;
    }
    submitting->pieces.clear();
    const std::string name = JobRows::contentObject(submitting->submission.id);
    this->store.putObject(name, std::move(encoded), [this, alive = this->alive, submitting](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        // An object without a row that names it is nothing: whatever became of this write, no job is kept yet.
        if (outcome != WriteOutcome::Done) {
            submitting->done(SubmitOutcome::NotStored);
            return;
        }
        this->checkRoom(submitting);
    });
}

void JobStore::checkRoom(const std::shared_ptr<Submitting> &submitting)
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
            this->takeFound(submitting);
        } else if (limit > 0 && waiting + submitting->tokens > limit) {
            this->confirm(submitting, SubmitOutcome::Full);
        } else {
            this->write(submitting, waiting, orderVersion);
        }
    });
}

void JobStore::write(const std::shared_ptr<Submitting> &submitting, std::uint64_t waiting, RowVersion orderVersion)
{
    const std::optional<StoreTime> now = this->storeClock.now();
    if (!now) {
        // The store has answered, but without its time: nobody could tell how old the job is.
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
    head.contentPieces = static_cast<std::uint32_t>(submitting->pieces.size());
    const OpenJob open{submission.route, submission.workspace, submitting->tokens, this->self()};
    RowTransaction transaction;
    transaction.expectations.push_back({JobRows::head(submission.id), 0});
    transaction.puts.push_back({JobRows::head(submission.id), encode(head)});
    transaction.puts.push_back({JobRows::open(submission.id), encode(open)});
    for (std::uint32_t piece = 0; piece < submitting->pieces.size(); ++piece) {
        transaction.puts.push_back({JobRows::contentChunk(submission.id, piece), submitting->pieces[piece]});
    }
    if (submission.waitingTokensLimit > 0) {
        // Each acceptance changes this row, so that two nodes can't both fill the last room.
        const RowKey order = JobRows::acceptanceOrder(submission.route, submission.workspace);
        transaction.expectations.push_back({order, orderVersion});
        transaction.puts.push_back({order, std::to_string(waiting + submitting->tokens)});
    }
    this->store.transact(std::move(transaction), [this, alive = this->alive, submitting](const RowTransactionResult &result) {
        if (*alive) {
            this->takeWritten(submitting, result);
        }
    });
}

void JobStore::takeWritten(const std::shared_ptr<Submitting> &submitting, const RowTransactionResult &result)
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
            this->takeFound(submitting);
            return;
        }
        this->retry(submitting, SubmitOutcome::NotStored);
        return;
    }
    case WriteOutcome::NotApplied:
        this->retryUnanswered(submitting);
        return;
    case WriteOutcome::Unknown:
        submitting->isMaybeWritten = true;
        this->confirm(submitting, SubmitOutcome::Unknown);
        return;
    }
}

void JobStore::confirm(const std::shared_ptr<Submitting> &submitting, SubmitOutcome otherwise)
{
    this->loadHead(submitting->submission.id, [this, submitting, otherwise](const LoadedJob &loaded) {
        if (loaded.outcome == JobReadOutcome::Found) {
            this->takeFound(submitting);
        } else if (loaded.outcome == JobReadOutcome::Absent && otherwise == SubmitOutcome::Full) {
            submitting->done(submitting->isMaybeWritten ? SubmitOutcome::Unknown : SubmitOutcome::Full);
        } else {
            this->retry(submitting, otherwise == SubmitOutcome::Full ? SubmitOutcome::NotStored : otherwise);
        }
    });
}

// What was found may be what this submission's unanswered write has stored. Then its open row names this node.
void JobStore::takeFound(const std::shared_ptr<Submitting> &submitting)
{
    if (!submitting->isMaybeWritten) {
        submitting->done(SubmitOutcome::Known);
        return;
    }
    const RowKey key = JobRows::open(submitting->submission.id);
    this->store.read(JobRows::openOnly(submitting->submission.id),
                     [this, alive = this->alive, submitting, key](const RowRangeResult &result) {
                         if (!*alive) {
                             return;
                         }
                         const bool isOurs = std::ranges::any_of(result.rows, [this, &key](const StoredRow &row) {
                             const std::optional<OpenJob> open = row.key == key ? decode<OpenJob>(row.value) : std::nullopt;
                             return open && open->runner == this->self();
                         });
                         submitting->done(isOurs ? SubmitOutcome::Accepted : SubmitOutcome::Known);
                     });
}

void JobStore::retry(const std::shared_ptr<Submitting> &submitting, SubmitOutcome otherwise)
{
    const std::chrono::milliseconds delay = this->pause(submitting->tries);
    const bool hasTime = this->clock.now() + delay + answerMargin < submitting->submission.deadline;
    if (++submitting->tries > mostTries || !hasTime) {
        submitting->done(submitting->isMaybeWritten ? SubmitOutcome::Unknown : otherwise);
        return;
    }
    this->scheduler.schedule(delay, [this, alive = this->alive, submitting] {
        if (*alive) {
            this->checkRoom(submitting);
        }
    });
}

void JobStore::retryUnanswered(const std::shared_ptr<Submitting> &submitting)
{
    ++submitting->unanswered;
    if (submitting->unanswered >= mostUnanswered && !submitting->isMaybeWritten) {
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
                                 if (this->totals.size() > totalsKept) {
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
        if (head->first.contentPieces > 0) {
            finish(std::move(loaded), JobRows::readContent(result.rows, head->first.contentPieces));
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
    this->tryEnd(std::make_shared<Ending>(Ending{job, deadline, 0, std::move(done)}));
}

void JobStore::tryEnd(const std::shared_ptr<Ending> &ending)
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

void JobStore::retryEnd(const std::shared_ptr<Ending> &ending)
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
    std::uint64_t position = head.listed.size() - results.size();
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
                "progress not kept",
                {{"job", job.value()}, {"outcome", static_cast<std::int64_t>(result.outcome)}});
        }
    });
}

} // namespace Dogwoodkeel
