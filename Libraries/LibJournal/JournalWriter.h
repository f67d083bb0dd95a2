#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibJournal/WritePace.h>
#include <LibPlatform/Platform.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Outcome of appending a record. */
enum class AppendOutcome {
    /** The record is durable in the journal. */
    Written,
    /** Another session sealed the journal first: neither this record nor any later one will be in the journal. */
    Fenced,
};

/**
 * Appends records to one session's journal by group commit: one row holds many records.
 *
 * Group n is written to row n by insert-if-absent, with one write in flight. A node that takes over the session's shards
 * inserts a seal at the next row in the same way. From then on the platform refuses this writer's inserts, regardless of
 * the writer's clock or member view, so an owner that resumes after a pause cannot make any decision durable.
 */
class JournalWriter
{
public:
    using Appended = std::function<void(AppendOutcome)>;

    /** Size limits, rates and retry delays of group writes. */
    struct Options
    {
        WritePace::Options pace;
        /** Max size of a row; a larger group is written to an object that the row references. */
        std::size_t rowBytes = 32768;
        /** Max size of a group. */
        std::size_t groupBytes = 4194304;
        /** Initial and max delay before a write is retried. */
        std::chrono::milliseconds firstBackoff{20};
        std::chrono::milliseconds maxBackoff{1000};
        /** Called once when another session has sealed this journal, before the callbacks of the lost records. */
        std::function<void()> onFenced;
    };

    JournalWriter(Platform &platform, Scheduler &scheduler, const Clock &clock, SessionNumber session, Options options);
    ~JournalWriter();
    JournalWriter(const JournalWriter &) = delete;
    JournalWriter &operator=(const JournalWriter &) = delete;

    /**
     * Appends a record. Records become durable in the order of the calls.
     * @param appended called when the record is durable, or when it is certain that it never will be; not called while
     * the platform is down
     */
    void append(JournalRecord record, Appended appended);

    /** Sets how many writes per second this journal may make. */
    void setWritesPerSecond(double rate);

    /** Checks whether another session has sealed this journal, without waiting for the next append to fail. */
    void checkForSeal();

    /** @return the number of the next group to be started. */
    GroupNumber nextGroup() const;

    /** @return the last group that is durable; 0 if there is none. */
    GroupNumber lastDurableGroup() const;

    /** @return whether a platform call of the write in flight has failed and the write has not completed since. */
    bool isStalled() const;

    bool isFenced() const;

    /** @return number of records that are not yet durable. */
    std::size_t waiting() const;

    /** @return number of records appended so far, durable or not. */
    std::uint64_t appended() const;

    /** @return number of records that are durable; they are the first ones in the order of append(). */
    std::uint64_t durable() const;

    /** @return number of groups written. */
    std::uint64_t groupsWritten() const;

private:
    struct Pending
    {
        JournalRecord record;
        Appended appended;
    };

    void scheduleWrite();
    void startGroup();
    void writeObject();
    void writeRow();
    void onRowWritten(WriteOutcome outcome);
    void readBack();
    void retry(void (JournalWriter::*step)());
    void completeGroup();
    void fence();

    Platform &platform;
    Scheduler &scheduler;
    const Clock &clock;
    SessionNumber session;
    Options options;

    std::deque<Pending> pending;
    std::vector<Pending> inFlight;
    JournalGroup group;
    std::string rowValue;
    std::string objectValue;
    GroupNumber number{1};
    WritePace pace;
    TimerId timer = 0;
    std::chrono::milliseconds backoff;
    bool stalled = false;
    bool fenced = false;
    std::uint64_t written = 0;
    std::uint64_t appendedRecords = 0;
    std::uint64_t durableRecords = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
