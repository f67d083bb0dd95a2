#pragma once

#include <LibBase/Scheduler.h>
#include <LibPlatform/Platform.h>
#include <LibWire/Generated/Messages.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Takes session numbers from the platform, and tells of the sessions there are. */
class SessionRegistry
{
public:
    /** A session and its row. */
    struct Listed
    {
        SessionNumber number;
        SessionRow row;
    };

    SessionRegistry(Platform &platform, Scheduler &scheduler);
    ~SessionRegistry();
    SessionRegistry(const SessionRegistry &) = delete;
    SessionRegistry &operator=(const SessionRegistry &) = delete;

    /**
     * Take the next session number. Tries until the platform answers. A number whose transaction was lost is left
     * unused: numbers only have to grow.
     */
    void open(SessionRow row, std::function<void(SessionNumber)> opened);

    /** Remove a session's row, best effort: it only tells starting nodes whom to ask. */
    void close(SessionNumber number);

    /** Write the row of this node's session again, which another node has removed. */
    void restore(SessionNumber number);

    /** @param listed gets the sessions that are not closed, or nothing if the platform did not answer */
    void list(std::function<void(std::optional<std::vector<Listed>>)> listed);

private:
    void readCounter();
    void write(const RowResult &counter);
    void retry();

    Platform &platform;
    Scheduler &scheduler;
    SessionRow row;
    std::function<void(SessionNumber)> opened;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
