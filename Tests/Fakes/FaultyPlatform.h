#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/EmbeddedPlatform.h>

#include <memory>

namespace Dogwoodkeel
{

/** A platform in memory that can be unavailable, lose writes, and lose the answers to writes that took effect. */
class FaultyPlatform final : public Platform, private TableService, private ObjectStore
{
public:
    explicit FaultyPlatform(Scheduler &scheduler);

    /** Creates another client of the same data, with faults of its own. */
    FaultyPlatform(std::shared_ptr<EmbeddedStore> store, Scheduler &scheduler);

    /** @param isDown whether writes are rejected and reads fail */
    void setDown(bool isDown);
    /** @param count how many of the next writes lose their answers, after taking effect */
    void loseAnswers(std::size_t count);
    /** @param count how many of the next writes are lost before they take effect, and are reported as WriteOutcome::Unknown */
    void loseWrites(std::size_t count);
    std::size_t rowWrites() const;
    /** @return the number of reads of one row or of a range. */
    std::size_t rowReads() const;
    const std::shared_ptr<EmbeddedStore> &store() const;

    TableService &tables() override;
    ObjectStore &objects() override;
    VmList &vms() override;

private:
    void read(const std::string &key, RowRead done) override;
    void readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done) override;
    void transact(const Transaction &transaction, TableService::Written done) override;
    void putIfAbsent(const std::string &key, const std::string &content, ObjectStore::Written done) override;
    void get(const std::string &key, ObjectRead done) override;
    void list(const std::string &prefix, KeysRead done) override;
    void remove(const std::string &key, ObjectStore::Written done) override;
    void write(const std::function<bool()> &apply, std::function<void(WriteOutcome)> done);

    std::shared_ptr<EmbeddedStore> data;
    Scheduler &scheduler;
    EmbeddedPlatform inner;
    bool down = false;
    std::size_t answersToLose = 0;
    std::size_t writesToLose = 0;
    std::size_t rowsWritten = 0;
    std::size_t rowsRead = 0;
};

} // namespace Dogwoodkeel
