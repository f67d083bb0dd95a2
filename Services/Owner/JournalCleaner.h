#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibBase/Scheduler.h>
#include <LibPlatform/Platform.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Deletes journal groups that no shard row refers to any more. A group without references never gets one again: the span
 * of a claim starts after all existing groups, and a checkpoint only shortens spans.
 *
 * NOTE: Seals are never deleted; they cost one small row per lost session. A paused owner that resumes after any time
 * writes to the key of its seal. If the key were free, it would acknowledge records that are never replayed.
 */
class JournalCleaner
{
public:
    /** Number of shards and cleaning intervals. */
    struct Options
    {
        std::uint32_t shards = 64;
        std::chrono::milliseconds interval{30000};
        /** Interval between searches for journals of lost sessions. */
        std::chrono::milliseconds lostSearchInterval{300000};
    };

    /** The journals that this node cleans. */
    struct CleaningScope
    {
        /** The first group of the own journal that must be kept, with all later ones. */
        GroupNumber ownLimit;
        /** Whether to clean journals of lost sessions as well. One node does so. */
        bool cleansOthers = false;
    };

    JournalCleaner(Platform &platform,
                   const Clock &clock,
                   SessionNumber self,
                   std::function<bool(SessionNumber)> hasDeparted,
                   Options options);
    ~JournalCleaner();
    JournalCleaner(const JournalCleaner &) = delete;
    JournalCleaner &operator=(const JournalCleaner &) = delete;

    /** Cleans if the interval has passed. Called periodically. */
    void tick(const CleaningScope &scope);

private:
    void readRows(const CleaningScope &scope);
    void cleanJournal(SessionNumber session, GroupNumber from, GroupNumber below, const std::function<void()> &cleaned);
    void onPage(const RowsResult &page, SessionNumber session, GroupNumber below, const std::function<void()> &cleaned);
    void cleanOthers(const CleaningScope &scope);
    void findLost(const std::string &from);
    void onJournals(const std::vector<Row> &rows);
    void cleanLost(SessionNumber session);
    void finish();

    Platform &platform;
    const Clock &clock;
    SessionNumber self;
    std::function<bool(SessionNumber)> hasDeparted;
    Options options;
    bool busy = false;
    SteadyTime lastCleaning;
    SteadyTime lastLostSearch;
    /** The first group of each journal that a row refers to. */
    std::map<SessionNumber, GroupNumber> firstNeededGroups;
    /** Groups of the own journal before this one are deleted. */
    GroupNumber cleaned{1};
    /** Lost sessions of which only the seal is left. */
    std::set<SessionNumber> cleanedSessions;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
