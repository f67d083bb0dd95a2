#include <LibJournal/SessionRegistry.h>

#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>

#include <charconv>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds retryDelay{100};
constexpr std::size_t maxSessions = 4096;

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

SessionRegistry::SessionRegistry(Platform &platform, Scheduler &scheduler) : platform(platform), scheduler(scheduler)
{
}

SessionRegistry::~SessionRegistry()
{
    *this->alive = false;
}

void SessionRegistry::open(SessionRow row, std::function<void(SessionNumber)> opened)
{
    this->row = std::move(row);
    this->opened = std::move(opened);
    this->readCounter();
}

void SessionRegistry::readCounter()
{
    this->platform.tables().read(JournalKeys::sessionCounter, [this, alive = this->alive](const RowResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome == ReadOutcome::Failed) {
            this->retry();
            return;
        }
        this->write(result);
    });
}

void SessionRegistry::write(const RowResult &counter)
{
    const bool isFirst = counter.outcome == ReadOutcome::Absent;
    const std::uint64_t number = isFirst ? 1 : numberOf(counter.row.value) + 1;
    const auto version = isFirst ? std::nullopt : std::optional(counter.row.version);
    Transaction transaction;
    transaction.conditions.push_back({JournalKeys::sessionCounter, version});
    transaction.writes.push_back({JournalKeys::sessionCounter, std::to_string(number)});
    transaction.writes.push_back({JournalKeys::session(SessionNumber(number)), encode(this->row)});
    this->platform.tables().transact(transaction, [this, number, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        if (outcome == WriteOutcome::Done) {
            this->opened(SessionNumber(number));
            return;
        }
        this->retry();
    });
}

void SessionRegistry::retry()
{
    this->scheduler.schedule(retryDelay, [this, alive = this->alive] {
        if (*alive) {
            this->readCounter();
        }
    });
}

void SessionRegistry::close(SessionNumber number)
{
    this->platform.tables().transact({{}, {{JournalKeys::session(number), std::nullopt}}}, [](WriteOutcome) {});
}

void SessionRegistry::restore(SessionNumber number)
{
    this->platform.tables().insertIfAbsent(JournalKeys::session(number), encode(this->row), [](WriteOutcome) {});
}

void SessionRegistry::list(std::function<void(std::optional<std::vector<Listed>>)> listed)
{
    this->platform.tables().readRange(JournalKeys::session(SessionNumber(0)),
                                      JournalKeys::sessionsEnd(),
                                      maxSessions,
                                      [listed = std::move(listed)](const RowsResult &result) {
                                          if (result.outcome != ReadOutcome::Found) {
                                              listed(std::nullopt);
                                              return;
                                          }
                                          std::vector<Listed> sessions;
                                          for (const Row &row : result.rows) {
                                              const std::string digits = row.key.substr(row.key.find('/') + 1);
                                              if (const auto decoded = decode<SessionRow>(row.value)) {
                                                  sessions.push_back({SessionNumber(numberOf(digits)), *decoded});
                                              }
                                          }
                                          listed(std::move(sessions));
                                      });
}

} // namespace Dogwoodkeel
