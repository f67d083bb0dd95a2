#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/Platform.h>
#include <LibWire/Generated/Messages.h>

#include <functional>
#include <memory>
#include <vector>

namespace Dogwoodkeel
{

/** A group read from a journal, with its records. */
struct RecoveredGroup
{
    GroupNumber number;
    JournalGroup group;
};

/** The result of reading a journal. */
struct RecoveredJournal
{
    /** Groups of records in order, excluding the seal. */
    std::vector<RecoveredGroup> groups;
    /** Number of the last group of records; first - 1 if there is none. */
    GroupNumber last;
    /**
     * False if a group of a closed span was deleted: after the shard's row was read, the shard's owner wrote a checkpoint
     * and deleted the groups that the checkpoint covers. The caller must read the shard's row again.
     */
    bool isComplete = true;
};

/**
 * Reads a journal from a given group. If the journal's owner may still write, the recovery inserts a seal at the tail and
 * completes only when the seal is in place, so that the groups read are all that the journal will ever contain.
 */
class JournalRecovery : public std::enable_shared_from_this<JournalRecovery>
{
public:
    using Recovered = std::function<void(RecoveredJournal)>;

    /**
     * @param sealer session that takes over the journal's shards
     * @param session session whose journal is read
     * @param first first group to read
     * @param last last group to read; 0 reads to the end and seals the journal
     */
    JournalRecovery(Platform &platform,
                    Scheduler &scheduler,
                    SessionNumber sealer,
                    SessionNumber session,
                    GroupNumber first,
                    GroupNumber last);

    /**
     * Starts the recovery. Retries until the platform responds.
     * @param recovered called once with the result
     */
    void start(Recovered recovered);

private:
    bool isOpen() const;
    void readPage();
    void onRows(const RowsResult &result);
    bool addGroup(const Row &row);
    void loadObjects();
    void finish();
    void insertSeal();
    void report(bool isComplete);
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
