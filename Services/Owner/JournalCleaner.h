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
 * Deletes groups of journals that no shard's row needs any more. Rows never come to need a group again that they did not
 * need before: a claim's span starts behind all groups there are, and a checkpoint only shortens spans.
 *
 * NOTE: Seals stay for ever, one small row for each session that was lost. A paused owner that wakes after any time writes
 * at the place of its seal; were that free, it would acknowledge what nobody replays.
 */
class JournalCleaner
{
public:
    /** When to clean. */
    struct Options
    {
        std::uint32_t shards = 64;
        std::chrono::milliseconds interval{30000};
        /** How often journals of lost sessions are looked for. */
        std::chrono::milliseconds lostInterval{300000};
    };

    /** Which journals this node cleans. */
    struct Duty
    {
        /** Groups of the own journal from here on are kept. */
        GroupNumber ownLimit;
        /** Whether to clean after lost sessions as well: one node does so. */
        bool cleansOthers = false;
    };

    JournalCleaner(
        Platform &platform, const Clock &clock, SessionNumber self, std::function<bool(SessionNumber)> isGone, Options options);
    ~JournalCleaner();
    JournalCleaner(const JournalCleaner &) = delete;
    JournalCleaner &operator=(const JournalCleaner &) = delete;

    /** Called often; cleans when it is time. */
    void tick(const Duty &duty);

private:
    void readRows(const Duty &duty);
    void cleanJournal(SessionNumber session, GroupNumber from, GroupNumber below, const std::function<void()> &cleaned);
    void onPage(const RowsResult &page, SessionNumber session, GroupNumber below, const std::function<void()> &cleaned);
    void cleanOthers(const Duty &duty);
    void findLost(const std::string &from);
    void onJournals(const std::vector<Row> &rows);
    void cleanLost(SessionNumber session);
    void finish();

    Platform &platform;
    const Clock &clock;
    SessionNumber self;
    std::function<bool(SessionNumber)> isGone;
    Options options;
    bool busy = false;
    SteadyTime last;
    SteadyTime lastLost;
    /** The first group of each journal that a row needs. */
    std::map<SessionNumber, GroupNumber> needed;
    /** Groups of the own journal before it are deleted. */
    GroupNumber cleaned{1};
    /** Lost sessions of which only the seal is left. */
    std::set<SessionNumber> done;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
