#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/EventLoop.h>

#include <string>

namespace Dogwoodkeel
{

/**
 * Serves HTTP in place of the entry while the node has no session or no configuration yet. Reports that the node is
 * up and what it waits for, and refuses every other request as not run. This distinguishes a node that waits for the
 * platform from one that hangs.
 */
class StartingTask
{
public:
    /**
     * @param address the address to listen on
     * @param waitingFor what the start waits for, as reported by GET /readyz
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
