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

/** Allocates session numbers on the platform, and lists the open sessions. */
class SessionRegistry
{
public:
    /** The number and row of an open session. */
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
     * Allocates the next session number. Retries until the platform responds. If the response to a transaction is lost, its
     * number stays unused; session numbers only have to increase.
     */
    void open(SessionRow row, std::function<void(SessionNumber)> opened);

    /** Removes a session's row, best effort: starting nodes only use the rows to find nodes to contact. */
    void close(SessionNumber number);

    /** Writes the row of this node's session again after another node has removed it. */
    void restore(SessionNumber number);

    /** @param listed receives the open sessions, or nothing if the platform did not respond */
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
