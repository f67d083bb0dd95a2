#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/RowStore.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Stand-in for the platform's rows and objects that fails as a test tells it to. */
class FakeRowStore final : public RowStore
{
public:
    explicit FakeRowStore(Scheduler &scheduler);
    ~FakeRowStore() override;
    FakeRowStore(const FakeRowStore &) = delete;
    FakeRowStore &operator=(const FakeRowStore &) = delete;

    void transact(RowTransaction transaction, std::function<void(RowTransactionResult)> done) override;
    void read(RowRange range, std::function<void(RowRangeResult)> done) override;
    void follow(const std::string &table,
                RowVersion since,
                std::chrono::milliseconds wait,
                std::function<void(FollowResult)> done) override;
    void listParts(const std::string &table, const std::string &after, std::function<void(RowPartsResult)> done) override;
    void putObject(const std::string &name, std::string content, std::function<void(WriteOutcome)> done) override;
    void readObject(const std::string &name, std::function<void(ReadOutcome, std::string)> done) override;
    void removeObject(const std::string &name, std::function<void(WriteOutcome)> done) override;

    /** Turn all calls away, doing nothing. */
    void setDown(bool isDown);

    /** Leave whoever asks for changes without an answer, as on a connection that is dead. */
    void setFollowMuted(bool isMute);

    /** @return how often rows were read. */
    std::size_t reads() const;

    /** Give no more than so many rows in one answer. */
    void setPageSize(std::size_t rows);

    /** Do the next writes, and lose their answers. */
    void loseAnswers(std::size_t count);

    /** Give no answer to the next writes, and do them later, if their expectations still hold. */
    void delayWrites(std::size_t count, std::chrono::milliseconds delay);

    /** Drop the history: whoever follows has to read anew. */
    void dropHistory();

    /** @return the rows of a table. */
    std::vector<StoredRow> rowsOf(const std::string &table) const;

    /** Put a row as the operator or a replica does. */
    void put(const RowKey &key, const std::string &value);

    /** Remove a row as soon as the next read is answered. */
    void removeAfterRead(const RowKey &key);

    /** Remove a row as the platform does. */
    void remove(const RowKey &key);

private:
    RowTransactionResult apply(const RowTransaction &transaction);
    FollowResult changesOf(const std::string &table, RowVersion since) const;
    void later(std::chrono::milliseconds delay, std::function<void()> action);
    void answer(std::function<void()> action);

    Scheduler &scheduler;
    std::map<RowKey, StoredRow> rows;
    std::map<std::string, std::string> objects;
    std::vector<StoredRow> history;
    RowVersion version = 0;
    RowVersion historyFrom = 0;
    bool down = false;
    bool mute = false;
    std::size_t readCount = 0;
    std::size_t pageSize = 1'000'000;
    std::optional<RowKey> removedAfterRead;
    std::size_t answersToLose = 0;
    std::size_t writesToDelay = 0;
    std::chrono::milliseconds writeDelay{0};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
