#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Confirms with the platform's store that a job is open, and caches the confirmation while it is recent enough.
 *
 * Reports of other nodes about the end of a job may be lost or late, so a job is only acted on while the store has recently
 * confirmed that it is open.
 */
class OpenConfirmation
{
public:
    /** The state of the job according to the store. */
    enum class Reply {
        Open,
        /** The job was ended, is complete, or does not exist. */
        Closed,
        /** The store did not answer. */
        Unknown,
    };

    /** Receives the age of the confirmation, or nothing if the store did not answer. Not called if the job is closed. */
    using Callback = std::function<void(std::optional<std::chrono::milliseconds> age)>;

    struct Hooks
    {
        /** Queries the store whether the job is open. */
        std::function<void(std::function<void(Reply)>)> query;
        /** Called when the store replies that the job is closed. */
        std::function<void()> closed;
    };

    /** @param validity maximum age of a confirmation */
    OpenConfirmation(Scheduler &scheduler, const Clock &clock, std::chrono::milliseconds validity, Hooks hooks);
    ~OpenConfirmation();
    OpenConfirmation(const OpenConfirmation &) = delete;
    OpenConfirmation &operator=(const OpenConfirmation &) = delete;

    /** @return the time to record for the reply to a query that is sent now. */
    SteadyTime queryTime() const;

    /** Records that the store confirmed the job as open. @param queriedAt queryTime() before the query was sent */
    void recordOpen(SteadyTime queriedAt);

    /** Calls back immediately if the last confirmation is recent enough, otherwise once the store has replied or did not answer.
     */
    void request(Callback callback);

    /** Discards the confirmation and queries the store, as there are signs that the job is closed. */
    void requery();

    /** Drops all pending callbacks and queries. */
    void cancel();

private:
    void query();
    void handleReply(Reply reply, SteadyTime queriedAt);
    void notifyWaiting(std::optional<std::chrono::milliseconds> age);
    std::optional<std::chrono::milliseconds> validAge() const;

    Scheduler &scheduler;
    const Clock &clock;
    std::chrono::milliseconds validity;
    Hooks hooks;
    std::optional<SteadyTime> confirmedAt;
    std::vector<Callback> waiting;
    bool isQuerying = false;
    /** Whether the store is queried until it replies, even if no callback is waiting. */
    bool isRequerying = false;
    /** Number of the last query; replies to earlier ones are ignored. */
    std::uint64_t queryNumber = 0;
    TimerId retryTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
