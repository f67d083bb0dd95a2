#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/CallBudget.h>
#include <LibPlatform/Platform.h>
#include <LibPlatform/PlatformCircuit.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * A platform whose calls keep to this node's budget, are turned away while it is down, and are counted by cause. A call
 * that is turned away is told as not applied, or as a failed read: it is proved that it was not made.
 */
class GuardedPlatform final : public Platform, private TableService, private ObjectStore, private VmList
{
public:
    /** Told of each call with its cause: the first part of its key, such as journal or items. */
    using CountCall = std::function<void(CallKind kind, std::string_view cause, std::string_view outcome)>;

    /** @param longestWait a call that would have to wait longer for the budget is turned away */
    GuardedPlatform(std::unique_ptr<Platform> inner,
                    Scheduler &scheduler,
                    const Clock &clock,
                    std::shared_ptr<CallBudget> budget,
                    std::chrono::milliseconds longestWait,
                    CountCall count);
    ~GuardedPlatform() override;

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
    void fetch(Fetched done) override;

    /** Run a call in its turn, or turn it away; either from the loop, never from inside. */
    void admit(CallKind kind, std::string_view cause, std::function<void()> call, std::function<void()> turnAway);
    void onRead(std::string_view cause, ReadOutcome outcome);
    void onWrite(std::string_view cause, WriteOutcome outcome);

    std::unique_ptr<Platform> inner;
    Scheduler &scheduler;
    PlatformCircuit circuit;
    std::shared_ptr<CallBudget> budget;
    std::chrono::milliseconds longestWait;
    CountCall count;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
