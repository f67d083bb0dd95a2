#include <LibJournal/JournalWriter.h>

#include <LibBase/Encoding.h>
#include <LibBase/Log.h>
#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t nonceBytes = 12;
/** Estimated encoded size of a record without its payload, in bytes. */
constexpr std::size_t recordOverhead = 32;

} // namespace

JournalWriter::JournalWriter(Platform &platform, Scheduler &scheduler, const Clock &clock, SessionNumber session, Options options)
    : platform(platform)
    , scheduler(scheduler)
    , clock(clock)
    , session(session)
    , options(std::move(options))
    , pace(this->options.pace)
    , backoff(this->options.firstBackoff)
{
}

JournalWriter::~JournalWriter()
{
    *this->alive = false;
    this->scheduler.cancel(this->timer);
}

void JournalWriter::append(JournalRecord record, Appended appended)
{
    if (this->fenced) {
        appended(AppendOutcome::Fenced);
        return;
    }
    ++this->appendedRecords;
    this->pace.recordAdded(this->clock.now());
    this->pending.push_back({std::move(record), std::move(appended)});
    this->scheduleWrite();
}

void JournalWriter::setWritesPerSecond(double rate)
{
    this->pace.setWritesPerSecond(rate, this->clock.now());
}

void JournalWriter::checkForSeal()
{
    this->platform.tables().readRange(JournalKeys::group(this->session, this->number),
                                      JournalKeys::groupsEnd(this->session),
                                      1,
                                      [this, alive = this->alive](const RowsResult &result) {
                                          // A write in flight detects the seal itself.
                                          if (!*alive || this->fenced || !this->inFlight.empty() || result.rows.empty()) {
                                              return;
                                          }
                                          const auto found = decode<JournalGroup>(result.rows.front().value);
                                          if (found && found->sealedBy.value() != 0) {
                                              this->fence();
                                          }
                                      });
}

GroupNumber JournalWriter::nextGroup() const
{
    return this->inFlight.empty() ? this->number : GroupNumber(this->number.value() + 1);
}

GroupNumber JournalWriter::lastDurableGroup() const
{
    return GroupNumber(this->number.value() - 1);
}

bool JournalWriter::isStalled() const
{
    return this->stalled;
}

bool JournalWriter::isFenced() const
{
    return this->fenced;
}

std::size_t JournalWriter::waiting() const
{
    return this->pending.size() + this->inFlight.size();
}

std::uint64_t JournalWriter::appended() const
{
    return this->appendedRecords;
}

std::uint64_t JournalWriter::durable() const
{
    return this->durableRecords;
}

std::uint64_t JournalWriter::groupsWritten() const
{
    return this->written;
}

void JournalWriter::scheduleWrite()
{
    if (this->timer != 0 || !this->inFlight.empty() || this->pending.empty() || this->fenced) {
        return;
    }
    const SteadyTime earliest = this->pace.nextStart(this->clock.now());
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(earliest - this->clock.now());
    this->timer = this->scheduler.schedule(std::max(wait, std::chrono::milliseconds(0)), [this] {
        this->timer = 0;
        this->startGroup();
    });
}

void JournalWriter::startGroup()
{
    this->group = {};
    this->group.nonce = randomHex(nonceBytes);
    std::size_t size = 0;
    while (!this->pending.empty()) {
        size += this->pending.front().record.payload.size() + recordOverhead;
        if (size > this->options.groupBytes && !this->inFlight.empty()) {
            break;
        }
        this->group.records.push_back(this->pending.front().record);
        this->inFlight.push_back(std::move(this->pending.front()));
        this->pending.pop_front();
    }
    this->rowValue = encode(this->group);
    const bool isLarge = this->rowValue.size() > this->options.rowBytes;
    this->pace.writeStarted(this->clock.now(), isLarge ? 2 : 1);
    if (!isLarge) {
        this->writeRow();
        return;
    }
    this->objectValue = std::move(this->rowValue);
    this->group.objectKey = JournalKeys::groupObject(this->session, this->number, this->group.nonce);
    this->group.records.clear();
    this->rowValue = encode(this->group);
    this->writeObject();
}

void JournalWriter::writeObject()
{
    this->platform.objects().putIfAbsent(
        this->group.objectKey, this->objectValue, [this, alive = this->alive](WriteOutcome outcome) {
            if (!*alive) {
                return;
            }
            // Refused: the key contains this group's nonce, so the existing object was written by an earlier attempt.
            if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Refused) {
                this->objectValue.clear();
                this->writeRow();
                return;
            }
            this->retry(&JournalWriter::writeObject);
        });
}

void JournalWriter::writeRow()
{
    this->platform.tables().insertIfAbsent(
        JournalKeys::group(this->session, this->number), this->rowValue, [this, alive = this->alive](WriteOutcome outcome) {
            if (*alive) {
                this->onRowWritten(outcome);
            }
        });
}

void JournalWriter::onRowWritten(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Done:
        this->completeGroup();
        return;
    case WriteOutcome::Refused:
        // The row exists: it is this group, if the response to an earlier attempt was lost, or a seal.
    case WriteOutcome::Unknown:
        // The response may have been lost after the write took effect. Writing a new group could duplicate the records
        // in the journal, and giving up could lose them; reading the row back resolves the outcome.
        this->readBack();
        return;
    case WriteOutcome::NotApplied:
        this->retry(&JournalWriter::writeRow);
        return;
    }
}

void JournalWriter::readBack()
{
    this->platform.tables().read(JournalKeys::group(this->session, this->number),
                                 [this, alive = this->alive](const RowResult &result) {
                                     if (!*alive) {
                                         return;
                                     }
                                     if (result.outcome == ReadOutcome::Failed) {
                                         this->retry(&JournalWriter::readBack);
                                         return;
                                     }
                                     if (result.outcome == ReadOutcome::Absent) {
                                         // A delayed arrival of the lost write is harmless, because it has the same nonce.
                                         this->retry(&JournalWriter::writeRow);
                                         return;
                                     }
                                     const auto found = decode<JournalGroup>(result.row.value);
                                     if (found && found->nonce == this->group.nonce) {
                                         this->completeGroup();
                                         return;
                                     }
                                     this->fence();
                                 });
}

void JournalWriter::retry(void (JournalWriter::*step)())
{
    if (!std::exchange(this->stalled, true)) {
        log(LogLevel::Warning,
            "journal write failed, retrying until the platform responds",
            {{"group", static_cast<std::int64_t>(this->number.value())}});
    }
    this->timer = this->scheduler.schedule(this->backoff, [this, step] {
        this->timer = 0;
        (this->*step)();
    });
    this->backoff = std::min(this->backoff * 2, this->options.maxBackoff);
}

void JournalWriter::completeGroup()
{
    this->stalled = false;
    this->backoff = this->options.firstBackoff;
    this->number = GroupNumber(this->number.value() + 1);
    ++this->written;
    this->durableRecords += this->inFlight.size();
    const std::shared_ptr<bool> stillAlive = this->alive;
    for (const Pending &done : std::exchange(this->inFlight, {})) {
        done.appended(AppendOutcome::Written);
        if (!*stillAlive) {
            return;
        }
    }
    this->scheduleWrite();
}

void JournalWriter::fence()
{
    log(LogLevel::Warning,
        "journal was sealed by another session, rejecting further appends",
        {{"group", static_cast<std::int64_t>(this->number.value())}});
    this->fenced = true;
    std::vector<Pending> lost = std::exchange(this->inFlight, {});
    std::ranges::move(this->pending, std::back_inserter(lost));
    this->pending.clear();
    const std::shared_ptr<bool> stillAlive = this->alive;
    if (this->options.onFenced) {
        this->options.onFenced();
    }
    for (const Pending &each : lost) {
        each.appended(AppendOutcome::Fenced);
        if (!*stillAlive) {
            return;
        }
    }
}

} // namespace Dogwoodkeel
