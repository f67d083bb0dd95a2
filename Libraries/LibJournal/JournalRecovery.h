#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/Platform.h>
#include <LibWire/Generated/Messages.h>

#include <functional>
#include <memory>
#include <vector>

namespace Dogwoodkeel
{

/** A group as it was read from a journal, with its records. */
struct RecoveredGroup
{
    GroupNumber number;
    JournalGroup group;
};

/** What a journal holds. */
struct RecoveredJournal
{
    /** Groups of records in order, without the seal. */
    std::vector<RecoveredGroup> groups;
    /** The last group of records: first - 1 if there is none. */
    GroupNumber last;
    /**
     * False if a group of a closed span is gone: whoever owns the shard has written a checkpoint since its row was
     * read, and deleted what the row no longer needs. The row is to be read again.
     */
    bool isComplete = true;
};

/**
 * Reads a journal from a group on. For a journal whose owner may still write, it inserts the seal at the tail, and
 * counts as done only when the seal stands there: what was read is then all that the journal will ever hold.
 */
class JournalRecovery : public std::enable_shared_from_this<JournalRecovery>
{
public:
    using Recovered = std::function<void(RecoveredJournal)>;

    /**
     * @param sealer the session that takes over
     * @param session whose journal
     * @param first the group to read from
     * @param last the last group to read, or 0: read to the end and seal it
     */
    JournalRecovery(Platform &platform,
                    Scheduler &scheduler,
                    SessionNumber sealer,
                    SessionNumber session,
                    GroupNumber first,
                    GroupNumber last);

    /**
     * Start. Tries until the platform answers.
     * @param recovered told once
     */
    void start(Recovered recovered);

private:
    bool isOpen() const;
    void readPage();
    void onRows(const RowsResult &result);
    bool take(const Row &row);
    void loadObjects();
    void finish();
    void insertSeal();
    void tell(bool isComplete);
    void retry(void (JournalRecovery::*step)());
    std::uint64_t nextNumber() const;

    Platform &platform;
    Scheduler &scheduler;
    SessionNumber sealer;
    SessionNumber session;
    GroupNumber first;
    GroupNumber last;
    std::vector<RecoveredGroup> groups;
    std::size_t loaded = 0;
    bool atEnd = false;
    bool sealed = false;
    Recovered recovered;
};

} // namespace Dogwoodkeel
