#pragma once

#include <LibProxy/CallerServer.h>
#include <Tests/Fakes/SignedHeaders.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** A replica that answers by the script of a test. */
class StandInReplica
{
public:
    using Script = std::function<void(const std::shared_ptr<CallerExchange> &)>;

    StandInReplica(EventLoop &loop, const Clock &clock, Script script)
        : script(std::move(script))
        , server(loop, clock, {"127.0.0.1", 0}, {}, [this](const std::shared_ptr<CallerExchange> &exchange) {
            this->heads.push_back(exchange->head());
            this->script(exchange);
        })
    {
    }

    const Address &address() const
    {
        return this->server.address();
    }

    /** Stops accepting connections, as a process that has ended. */
    void stop()
    {
        this->server.stopAccepting();
    }

    Script script;
    std::vector<MessageHead> heads;

private:
    CallerServer server;
};

/** Sends the events of a stream that follow the request's Last-Event-Id, up to a number; leaves the stream open. */
inline void sendEvents(const std::shared_ptr<CallerExchange> &exchange, int to)
{
    const int from = std::stoi(std::string(exchange->head().headers.find("Last-Event-Id").value_or("0"))) + 1;
    exchange->begin(200, signedHeaders(exchange));
    for (int event = from; event <= to; ++event) {
        const std::string number = std::to_string(event);
        std::string text("id: ");
        text.append(number).append("\ndata: t").append(number).append("\n\n");
        exchange->write(text);
    }
}

} // namespace Dogwoodkeel
