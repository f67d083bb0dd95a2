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

/** What became of an appended record. */
enum class AppendOutcome {
    /** It is in the journal for good. */
    Written,
    /** The journal was sealed by another session before it: it is not in it, and nothing more will be. */
    Fenced,
};

/**
 * Appends records to one session's journal, many to a row.
 *
 * Group n goes to row n by insert-if-absent, one write in flight. Whoever takes the session's shards over inserts a
 * seal at the next row in the same way: then this writer's insert is refused by the platform, whatever its clock or
 * its view of the other nodes says. So a paused owner that wakes up can decide nothing that lasts.
 */
class JournalWriter
{
public:
    using Appended = std::function<void(AppendOutcome)>;

    /** How groups are made. */
    struct Options
    {
        WritePace::Options pace;
        /** Largest row; a larger group goes to an object that the row names. */
        std::size_t rowBytes = 32768;
        /** Largest group. */
        std::size_t groupBytes = 4194304;
        /** First and longest wait before a write is tried again. */
        std::chrono::milliseconds firstBackoff{20};
        std::chrono::milliseconds longestBackoff{1000};
        /** Told once, before the records that are lost: another session has sealed this journal. */
        std::function<void()> onFenced;
    };

    JournalWriter(Platform &platform, Scheduler &scheduler, const Clock &clock, SessionNumber session, Options options);
    ~JournalWriter();
    JournalWriter(const JournalWriter &) = delete;
    JournalWriter &operator=(const JournalWriter &) = delete;

    /**
     * Append a record. Records become durable in the order of the calls.
     * @param appended told when it is in the journal, or when it is certain that it never will be; while the platform
     * is down, neither comes
     */
    void append(JournalRecord record, Appended appended);

    /** Change how many writes a second this journal may make. */
    void setWritesPerSecond(double rate);

    /** Find out whether another session has sealed this journal, without waiting for the next append to fail. */
    void checkForSeal();

    /** @return the number that the next group to be started will have. */
    GroupNumber nextGroup() const;

    /** @return the last group that is durable; 0 if there is none. */
    GroupNumber lastDurableGroup() const;

    /** @return since when the write in flight has not gone through, if its platform call has failed at least once. */
    bool isStalled() const;

    bool isFenced() const;

    /** @return records that are not yet durable. */
    std::size_t waiting() const;

    /** @return records appended so far, durable or not. */
    std::uint64_t appended() const;

    /** @return records durable so far: those before it in the order of append(). */
    std::uint64_t durable() const;

    /** @return groups written. */
    std::uint64_t groupsWritten() const;

private:
    struct Pending
    {
        JournalRecord record;
        Appended appended;
    };

    void wake();
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
