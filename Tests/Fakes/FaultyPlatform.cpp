#include <Tests/Fakes/FaultyPlatform.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds latency{1};
constexpr std::chrono::milliseconds timeout{200};

} // namespace

FaultyPlatform::FaultyPlatform(Scheduler &scheduler) : FaultyPlatform(std::make_shared<EmbeddedStore>(), scheduler)
{
}

FaultyPlatform::FaultyPlatform(std::shared_ptr<EmbeddedStore> store, Scheduler &scheduler)
    : data(std::move(store)), scheduler(scheduler), inner(this->data, scheduler)
{
}

void FaultyPlatform::setDown(bool isDown)
{
    this->down = isDown;
}

void FaultyPlatform::loseAnswers(std::size_t count)
{
    this->answersToLose = count;
}

void FaultyPlatform::loseWrites(std::size_t count)
{
    this->writesToLose = count;
}

std::size_t FaultyPlatform::rowWrites() const
{
    return this->rowsWritten;
}

std::size_t FaultyPlatform::rowReads() const
{
    return this->rowsRead;
}

const std::shared_ptr<EmbeddedStore> &FaultyPlatform::store() const
{
    return this->data;
}

TableService &FaultyPlatform::tables()
{
    return *this;
}

ObjectStore &FaultyPlatform::objects()
{
    return *this;
}

VmList &FaultyPlatform::vms()
{
    return this->inner.vms();
}

void FaultyPlatform::write(const std::function<bool()> &apply, std::function<void(WriteOutcome)> done)
{
    if (this->down) {
        this->scheduler.schedule(latency, [done = std::move(done)] {
            done(WriteOutcome::NotApplied);
        });
        return;
    }
    if (this->writesToLose > 0) {
        --this->writesToLose;
        this->scheduler.schedule(timeout, [done = std::move(done)] {
            done(WriteOutcome::Unknown);
        });
        return;
    }
    const WriteOutcome outcome = apply() ? WriteOutcome::Done : WriteOutcome::Refused;
    if (this->answersToLose > 0) {
        --this->answersToLose;
        this->scheduler.schedule(timeout, [done = std::move(done)] {
            done(WriteOutcome::Unknown);
        });
        return;
    }
    this->scheduler.schedule(latency, [done = std::move(done), outcome] {
        done(outcome);
    });
}

void FaultyPlatform::read(const std::string &key, RowRead done)
{
    ++this->rowsRead;
    if (this->down) {
        this->scheduler.schedule(latency, [done = std::move(done)] {
            done({});
        });
        return;
    }
    this->inner.tables().read(key, std::move(done));
}

void FaultyPlatform::readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done)
{
    ++this->rowsRead;
    if (this->down) {
        this->scheduler.schedule(latency, [done = std::move(done)] {
            done({});
        });
        return;
    }
    this->inner.tables().readRange(from, to, limit, std::move(done));
}

void FaultyPlatform::transact(const Transaction &transaction, TableService::Written done)
{
    ++this->rowsWritten;
    this->write(
        [this, &transaction] {
            return this->data->transact(transaction);
        },
        std::move(done));
}

void FaultyPlatform::putIfAbsent(const std::string &key, const std::string &content, ObjectStore::Written done)
{
    this->write(
        [this, &key, &content] {
            return this->data->putIfAbsent(key, content);
        },
        std::move(done));
}

void FaultyPlatform::get(const std::string &key, ObjectRead done)
{
    if (this->down) {
        this->scheduler.schedule(latency, [done = std::move(done)] {
            done({});
        });
        return;
    }
    this->inner.objects().get(key, std::move(done));
}

void FaultyPlatform::list(const std::string &prefix, KeysRead done)
{
    this->inner.objects().list(prefix, std::move(done));
}

void FaultyPlatform::remove(const std::string &key, ObjectStore::Written done)
{
    this->inner.objects().remove(key, std::move(done));
}

} // namespace Dogwoodkeel
