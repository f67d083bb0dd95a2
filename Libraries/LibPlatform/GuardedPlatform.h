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
 * Wraps a platform: limits the calls to this node's budget, rejects them while the platform is down, and counts them by cause.
 * A rejected call is never sent, so it is reported as NotApplied, or as a failed read.
 */
class GuardedPlatform final : public Platform, private TableService, private ObjectStore, private VmList
{
public:
    /** Called for each call with its cause: the first segment of its key, such as journal or items. */
    using CountCall = std::function<void(CallKind kind, std::string_view cause, std::string_view outcome)>;

    /** @param maxWait a call that would wait longer for the budget is rejected */
    GuardedPlatform(std::unique_ptr<Platform> inner,
                    Scheduler &scheduler,
                    const Clock &clock,
                    std::shared_ptr<CallBudget> budget,
                    std::chrono::milliseconds maxWait,
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

    /** Runs a call when the budget permits it, or rejects it. `reject` always runs from the loop, never from inside this
     * function. */
    void admit(CallKind kind, std::string_view cause, std::function<void()> call, std::function<void()> reject);
    void onRead(std::string_view cause, ReadOutcome outcome);
    void onWrite(std::string_view cause, WriteOutcome outcome);

    std::unique_ptr<Platform> inner;
    Scheduler &scheduler;
    PlatformCircuit circuit;
    std::shared_ptr<CallBudget> budget;
    std::chrono::milliseconds maxWait;
    CountCall count;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
