#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/EventLoop.h>

#include <string>

namespace Dogwoodkeel
{

/**
 * Answers in the place of the entry while the node has no session or no configuration yet: up, not ready, and why. Every
 * request is refused as not run. Without it a node that waits for the platform could not be told from one that hangs.
 */
class StartingTask
{
public:
    /**
     * @param address where the entry will listen
     * @param waitingFor told by GET /readyz
     * @throws std::runtime_error if it cannot listen
     */
    StartingTask(EventLoop &loop, const Address &address, std::string waitingFor);

    /** @param waitingFor what the start waits for now */
    void setWaitingFor(std::string waitingFor);

private:
    std::string waitingFor;
    HttpServer server;
};

} // namespace Dogwoodkeel
