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
 * How long ago the platform's store showed that a job was open. What other nodes report of a job's end may be lost or late, so
 * nobody acts on a job but by an answer of the store that is recent enough.
 */
class OpenConfirmation
{
public:
    /** What the store says of the job. */
    enum class Reply {
        Open,
        /** The job was ended, is complete, or was never there. */
        Closed,
        /** The store did not answer. */
        Unknown,
    };

    /** Gets the age of the confirmation, or nothing if the store did not answer. Not called for a job that is closed. */
    using Confirmed = std::function<void(std::optional<std::chrono::milliseconds> age)>;

    struct Hooks
    {
        /** Ask the store whether the job is open. */
        std::function<void(std::function<void(Reply)>)> ask;
        /** The store says that the job is closed. */
        std::function<void()> closed;
    };

    /** @param validity how old an answer may be that is acted on */
    OpenConfirmation(Scheduler &scheduler, const Clock &clock, std::chrono::milliseconds validity, Hooks hooks);
    ~OpenConfirmation();
    OpenConfirmation(const OpenConfirmation &) = delete;
    OpenConfirmation &operator=(const OpenConfirmation &) = delete;

    /** @return the time that is to be noted with the answer to a question asked now. */
    SteadyTime askTime() const;

    /** The store has shown that the job is open. @param asked askTime() of before the question */
    void note(SteadyTime asked);

    /** Call back at once if the last answer is recent enough, else once the store has answered. */
    void request(Confirmed confirmed);

    /** Ask the store whatever is known: there is a sign that the job is closed. */
    void renew();

    /** Call nobody back any more. */
    void cancel();

private:
    void ask();
    void take(Reply reply, SteadyTime asked);
    void callBack(std::optional<std::chrono::milliseconds> age);
    std::optional<std::chrono::milliseconds> validAge() const;

    Scheduler &scheduler;
    const Clock &clock;
    std::chrono::milliseconds validity;
    Hooks hooks;
    std::optional<SteadyTime> confirmed;
    std::vector<Confirmed> waiting;
    bool isAsking = false;
    /** The store is asked until it answers, though nobody waits. */
    bool isRenewing = false;
    /** Counts the questions; only the answer to the last one counts. */
    std::uint64_t question = 0;
    TimerId retryTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
