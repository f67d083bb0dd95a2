#include <LibPlatform/EmbeddedPlatform.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds immediately{0};

}

EmbeddedPlatform::EmbeddedPlatform(std::shared_ptr<EmbeddedStore> store, Scheduler &scheduler)
    : store(std::move(store)), scheduler(scheduler)
{
}

TableService &EmbeddedPlatform::tables()
{
    return *this;
}

ObjectStore &EmbeddedPlatform::objects()
{
    return *this;
}

VmList &EmbeddedPlatform::vms()
{
    return *this;
}

void EmbeddedPlatform::read(const std::string &key, RowRead done)
{
    std::optional<Row> row = this->store->read(key);
    RowResult result{row ? ReadOutcome::Found : ReadOutcome::Absent, row.value_or(Row())};
    this->scheduler.schedule(immediately, [done = std::move(done), result = std::move(result)] {
        done(result);
    });
}

void EmbeddedPlatform::readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done)
{
    RowsResult result{ReadOutcome::Found, this->store->readRange(from, to, limit)};
    this->scheduler.schedule(immediately, [done = std::move(done), result = std::move(result)] {
        done(result);
    });
}

void EmbeddedPlatform::transact(const Transaction &transaction, TableService::Written done)
{
    const WriteOutcome outcome = this->store->transact(transaction) ? WriteOutcome::Done : WriteOutcome::Refused;
    this->scheduler.schedule(immediately, [done = std::move(done), outcome] {
        done(outcome);
    });
}

void EmbeddedPlatform::putIfAbsent(const std::string &key, const std::string &content, ObjectStore::Written done)
{
    const WriteOutcome outcome = this->store->putIfAbsent(key, content) ? WriteOutcome::Done : WriteOutcome::Refused;
    this->scheduler.schedule(immediately, [done = std::move(done), outcome] {
        done(outcome);
    });
}

void EmbeddedPlatform::get(const std::string &key, ObjectRead done)
{
    std::optional<std::string> content = this->store->get(key);
    ObjectResult result{content ? ReadOutcome::Found : ReadOutcome::Absent, content.value_or(std::string())};
    this->scheduler.schedule(immediately, [done = std::move(done), result = std::move(result)] {
        done(result);
    });
}

void EmbeddedPlatform::list(const std::string &prefix, KeysRead done)
{
    ObjectKeysResult result{ReadOutcome::Found, this->store->list(prefix)};
    this->scheduler.schedule(immediately, [done = std::move(done), result = std::move(result)] {
        done(result);
    });
}

void EmbeddedPlatform::remove(const std::string &key, ObjectStore::Written done)
{
    this->store->remove(key);
    this->scheduler.schedule(immediately, [done = std::move(done)] {
        done(WriteOutcome::Done);
    });
}

void EmbeddedPlatform::fetch(Fetched done)
{
    this->scheduler.schedule(immediately, [done = std::move(done)] {
        done(std::vector<ListedVm>());
    });
}

} // namespace Dogwoodkeel
