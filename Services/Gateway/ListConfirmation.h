#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibPlatform/RowStore.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Confirms that a list that follows a table of the store holds all changes up to now. An answer that is already known proves
 * nothing, as it may have been on its way for any time. So the store is asked for the changes that the list lacks, by a call
 * that is sent after the request, and the list is confirmed once it holds them. One call serves all requests that wait for it.
 */
class ListConfirmation
{
public:
    /** Called once. @param isConfirmed false: the store has not answered in time, or the list does not follow the table */
    using Handler = std::function<void(bool isConfirmed)>;

    /** @param listVersion returns the version of the table up to which the list holds all changes; 0: it is not followed */
    ListConfirmation(
        Scheduler &scheduler, const Clock &clock, RowFeed &store, std::string table, std::function<RowVersion()> listVersion);
    ~ListConfirmation();
    ListConfirmation(const ListConfirmation &) = delete;
    ListConfirmation &operator=(const ListConfirmation &) = delete;

    /** Requests a confirmation. The handler is never called from inside this call. */
    void request(Handler handler);

    /** Must be called after changes were applied to the list. */
    void handleDelivery();

private:
    void scheduleCall();
    void sendCall();
    void receive(RowVersion since, const FollowResult &changes);
    void finish(bool isConfirmed);

    Scheduler &scheduler;
    const Clock &clock;
    RowFeed &store;
    std::string table;
    std::function<RowVersion()> listVersion;
    /** Requests that the current call serves. */
    std::vector<Handler> current;
    /** Requests that arrived after the current call was sent. */
    std::vector<Handler> next;
    bool isCalling = false;
    /** The number of the current call; answers to others are ignored. */
    std::uint64_t callNumber = 0;
    std::optional<SteadyTime> lastCall;
    /** The version that the list has to reach, once the store has answered. */
    std::optional<RowVersion> needed;
    TimerId callTimer = 0;
    TimerId timeoutTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
