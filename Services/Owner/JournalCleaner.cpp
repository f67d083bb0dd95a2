#include <Services/Owner/JournalCleaner.h>

#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t rowsPerPage = 64;
constexpr SessionNumber firstSession{1};
constexpr GroupNumber firstGroup{1};
constexpr GroupNumber afterAllGroups{std::numeric_limits<std::uint64_t>::max()};

} // namespace

JournalCleaner::JournalCleaner(
    Platform &platform, const Clock &clock, SessionNumber self, std::function<bool(SessionNumber)> hasDeparted, Options options)
    : platform(platform)
    , clock(clock)
    , self(self)
    , hasDeparted(std::move(hasDeparted))
    , options(options)
    , lastCleaning(clock.now())
    , lastLostSearch(clock.now())
{
}

JournalCleaner::~JournalCleaner()
{
    *this->alive = false;
}

void JournalCleaner::tick(const CleaningScope &scope)
{
    if (this->busy || this->clock.now() - this->lastCleaning < this->options.interval) {
        return;
    }
    this->busy = true;
    this->lastCleaning = this->clock.now();
    this->readRows(scope);
}

void JournalCleaner::readRows(const CleaningScope &scope)
{
    this->platform.tables().readRange(JournalKeys::shard(ShardNumber(0)),
                                      JournalKeys::shardsEnd(),
                                      this->options.shards,
                                      [this, scope, alive = this->alive](const RowsResult &result) {
                                          if (!*alive) {
                                              return;
                                          }
                                          this->firstNeededGroups.clear();
                                          bool isWhole = result.outcome == ReadOutcome::Found;
                                          for (const Row &each : result.rows) {
                                              const auto row = decode<ShardRow>(each.value);
                                              isWhole = isWhole && row;
                                              for (const JournalSpan &span : row ? row->spans : std::vector<JournalSpan>()) {
                                                  const auto found
                                                      = this->firstNeededGroups.try_emplace(span.session, span.first).first;
                                                  found->second = std::min(found->second, span.first);
                                              }
                                          }
                                          if (!isWhole) {
                                              this->finish();
                                              return;
                                          }
                                          const auto own = this->firstNeededGroups.find(this->self);
                                          const GroupNumber below = own != this->firstNeededGroups.end()
                                              ? std::min(own->second, scope.ownLimit)
                                              : scope.ownLimit;
                                          this->cleanJournal(this->self, this->cleaned, below, [this, scope, below] {
                                              this->cleaned = std::max(this->cleaned, below);
                                              this->cleanOthers(scope);
                                          });
                                      });
}

void JournalCleaner::cleanJournal(SessionNumber session,
                                  GroupNumber from,
                                  GroupNumber below,
                                  const std::function<void()> &cleaned)
{
    if (below <= from) {
        cleaned();
        return;
    }
    const std::string to = below == afterAllGroups ? JournalKeys::groupsEnd(session) : JournalKeys::group(session, below);
    this->platform.tables().readRange(JournalKeys::group(session, from),
                                      to,
                                      rowsPerPage,
                                      [this, session, below, cleaned, alive = this->alive](const RowsResult &page) {
                                          if (*alive) {
                                              this->onPage(page, session, below, cleaned);
                                          }
                                      });
}

void JournalCleaner::onPage(const RowsResult &page,
                            SessionNumber session,
                            GroupNumber below,
                            const std::function<void()> &cleaned)
{
    if (page.outcome != ReadOutcome::Found) {
        this->finish();
        return;
    }
    Transaction removal;
    for (const Row &row : page.rows) {
        const auto group = decode<JournalGroup>(row.value);
        if (!group || group->sealedBy.value() != 0) {
            continue;
        }
        if (!group->objectKey.empty()) {
            this->platform.objects().remove(group->objectKey, [](WriteOutcome) {});
        }
        removal.writes.push_back({row.key, std::nullopt});
    }
    if (removal.writes.empty()) {
        cleaned();
        return;
    }
    const GroupNumber next(JournalKeys::groupOf(page.rows.back().key).value() + 1);
    const bool isLastPage = page.rows.size() < rowsPerPage;
    this->platform.tables().transact(
        removal, [this, session, next, below, isLastPage, cleaned, alive = this->alive](WriteOutcome outcome) {
            if (!*alive) {
                return;
            }
            if (outcome != WriteOutcome::Done) {
                // The next round starts at the same group again.
                this->finish();
            } else if (isLastPage) {
                cleaned();
            } else {
                this->cleanJournal(session, next, below, cleaned);
            }
        });
}

void JournalCleaner::cleanOthers(const CleaningScope &scope)
{
    if (!scope.cleansOthers || this->clock.now() - this->lastLostSearch < this->options.lostSearchInterval) {
        this->finish();
        return;
    }
    this->lastLostSearch = this->clock.now();
    this->findLost(JournalKeys::group(firstSession, GroupNumber(0)));
}

void JournalCleaner::findLost(const std::string &from)
{
    this->platform.tables().readRange(
        from, JournalKeys::journalsEnd(), rowsPerPage, [this, alive = this->alive](const RowsResult &page) {
            if (*alive) {
                this->onJournals(page.rows);
            }
        });
}

void JournalCleaner::onJournals(const std::vector<Row> &rows)
{
    if (rows.empty()) {
        this->finish();
        return;
    }
    // Most rows are seals of sessions that are already cleaned; one read skips a whole page of them.
    const auto isDone = [this](const Row &row) {
        return this->cleanedSessions.contains(JournalKeys::sessionOf(row.key));
    };
    const auto row = std::ranges::find_if_not(rows, isDone);
    if (row == rows.end()) {
        this->findLost(JournalKeys::groupsEnd(JournalKeys::sessionOf(rows.back().key)));
        return;
    }
    this->cleanLost(JournalKeys::sessionOf(row->key));
}

void JournalCleaner::cleanLost(SessionNumber session)
{
    const auto next = [this, session] {
        this->findLost(JournalKeys::groupsEnd(session));
    };
    if (session == this->self || !this->hasDeparted(session)) {
        next();
        return;
    }
    const auto found = this->firstNeededGroups.find(session);
    const GroupNumber below = found != this->firstNeededGroups.end() ? found->second : afterAllGroups;
    this->cleanJournal(session, firstGroup, below, [this, session, below, next] {
        if (below == afterAllGroups) {
            this->cleanedSessions.insert(session);
        }
        next();
    });
}

void JournalCleaner::finish()
{
    this->busy = false;
}

} // namespace Dogwoodkeel
