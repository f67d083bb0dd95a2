#include <LibPlatform/GuardedPlatform.h>

#include <random>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds immediately{0};
constexpr std::string_view vmsCause = "vms";
constexpr std::string_view journalCause = "journal";

std::string causeOf(std::string_view key)
{
    return std::string(key.substr(0, key.find('/')));
}

std::string causeOf(const Transaction &transaction)
{
    return transaction.writes.empty() ? std::string("none") : causeOf(transaction.writes.front().key);
}

std::string_view nameOf(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Done:
        return "done";
    case WriteOutcome::Refused:
        return "refused";
    case WriteOutcome::NotApplied:
        return "not_applied";
    case WriteOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

GuardedPlatform::GuardedPlatform(std::unique_ptr<Platform> inner,
                                 Scheduler &scheduler,
                                 const Clock &clock,
                                 std::shared_ptr<CallBudget> budget,
                                 std::chrono::milliseconds maxWait,
                                 CountCall count)
    : inner(std::move(inner))
    , scheduler(scheduler)
    , circuit(clock, {}, std::random_device()())
    , budget(std::move(budget))
    , maxWait(maxWait)
    , count(std::move(count))
{
}

GuardedPlatform::~GuardedPlatform()
{
    *this->alive = false;
}

TableService &GuardedPlatform::tables()
{
    return *this;
}

ObjectStore &GuardedPlatform::objects()
{
    return *this;
}

VmList &GuardedPlatform::vms()
{
    return *this;
}

void GuardedPlatform::admit(CallKind kind, std::string_view cause, std::function<void()> call, std::function<void()> reject)
{
    if (!this->circuit.admit()) {
        this->count(kind, cause, "circuit_open");
        this->scheduler.schedule(immediately, std::move(reject));
        return;
    }
    // Journals limit their own rate against the whole budget, and only some nodes have one: an equal share would starve those
    // nodes.
    const auto wait = cause == journalCause ? std::optional(immediately) : this->budget->acquire(kind, this->maxWait);
    if (!wait) {
        // NOTE: A probe that is rejected here is reported as failed; otherwise the circuit would wait for its outcome forever.
        this->circuit.onOutcome(!this->circuit.isOpen());
        this->count(kind, cause, "over_budget");
        this->scheduler.schedule(immediately, std::move(reject));
        return;
    }
    if (*wait == immediately) {
        call();
        return;
    }
    this->scheduler.schedule(*wait, [call = std::move(call), alive = this->alive] {
        if (*alive) {
            call();
        }
    });
}

void GuardedPlatform::onRead(std::string_view cause, ReadOutcome outcome)
{
    this->circuit.onOutcome(outcome != ReadOutcome::Failed);
    this->count(CallKind::Read, cause, outcome == ReadOutcome::Failed ? "failed" : "done");
}

void GuardedPlatform::onWrite(std::string_view cause, WriteOutcome outcome)
{
    this->circuit.onOutcome(outcome == WriteOutcome::Done || outcome == WriteOutcome::Refused);
    this->count(CallKind::Write, cause, nameOf(outcome));
}

void GuardedPlatform::read(const std::string &key, RowRead done)
{
    const std::string cause = causeOf(key);
    this->admit(
        CallKind::Read,
        cause,
        [this, key, cause, done] {
            this->inner->tables().read(key, [this, cause, done](RowResult result) {
                this->onRead(cause, result.outcome);
                done(std::move(result));
            });
        },
        [done] {
            done({});
        });
}

void GuardedPlatform::readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done)
{
    const std::string cause = causeOf(from);
    this->admit(
        CallKind::Read,
        cause,
        [this, from, to, limit, cause, done] {
            this->inner->tables().readRange(from, to, limit, [this, cause, done](RowsResult result) {
                this->onRead(cause, result.outcome);
                done(std::move(result));
            });
        },
        [done] {
            done({});
        });
}

void GuardedPlatform::transact(const Transaction &transaction, TableService::Written done)
{
    const std::string cause = causeOf(transaction);
    this->admit(
        CallKind::Write,
        cause,
        [this, transaction, cause, done] {
            this->inner->tables().transact(transaction, [this, cause, done](WriteOutcome outcome) {
                this->onWrite(cause, outcome);
                done(outcome);
            });
        },
        [done] {
            done(WriteOutcome::NotApplied);
        });
}

void GuardedPlatform::putIfAbsent(const std::string &key, const std::string &content, ObjectStore::Written done)
{
    const std::string cause = causeOf(key);
    this->admit(
        CallKind::Write,
        cause,
        [this, key, content, cause, done] {
            this->inner->objects().putIfAbsent(key, content, [this, cause, done](WriteOutcome outcome) {
                this->onWrite(cause, outcome);
                done(outcome);
            });
        },
        [done] {
            done(WriteOutcome::NotApplied);
        });
}

void GuardedPlatform::get(const std::string &key, ObjectRead done)
{
    const std::string cause = causeOf(key);
    this->admit(
        CallKind::Read,
        cause,
        [this, key, cause, done] {
            this->inner->objects().get(key, [this, cause, done](ObjectResult result) {
                this->onRead(cause, result.outcome);
                done(std::move(result));
            });
        },
        [done] {
            done({});
        });
}

void GuardedPlatform::list(const std::string &prefix, KeysRead done)
{
    const std::string cause = causeOf(prefix);
    this->admit(
        CallKind::Read,
        cause,
        [this, prefix, cause, done] {
            this->inner->objects().list(prefix, [this, cause, done](ObjectKeysResult result) {
                this->onRead(cause, result.outcome);
                done(std::move(result));
            });
        },
        [done] {
            done({});
        });
}

void GuardedPlatform::remove(const std::string &key, ObjectStore::Written done)
{
    const std::string cause = causeOf(key);
    this->admit(
        CallKind::Write,
        cause,
        [this, key, cause, done] {
            this->inner->objects().remove(key, [this, cause, done](WriteOutcome outcome) {
                this->onWrite(cause, outcome);
                done(outcome);
            });
        },
        [done] {
            done(WriteOutcome::NotApplied);
        });
}

void GuardedPlatform::fetch(Fetched done)
{
    this->admit(
        CallKind::Read,
        vmsCause,
        [this, done] {
            this->inner->vms().fetch([this, done](std::optional<std::vector<ListedVm>> vms) {
                this->onRead(vmsCause, vms ? ReadOutcome::Found : ReadOutcome::Failed);
                done(std::move(vms));
            });
        },
        [done] {
            done(std::nullopt);
        });
}

} // namespace Dogwoodkeel
