#include <LibProxy/CallerExchange.h>

#include <LibProxy/CallerConnection.h>

#include <utility>

namespace Dogwoodkeel
{

CallerExchange::CallerExchange(CallerConnection &connection, MessageHead head, std::string body)
    : connection(&connection), requestHead(std::move(head)), requestBody(std::move(body))
{
}

const MessageHead &CallerExchange::head() const
{
    return this->requestHead;
}

const std::string &CallerExchange::body() const
{
    return this->requestBody;
}

bool CallerExchange::isOver() const
{
    return this->connection == nullptr;
}

bool CallerExchange::isStarted() const
{
    return this->hasStarted;
}

void CallerExchange::onDisconnect(std::function<void()> handler)
{
    this->disconnectHandler = std::move(handler);
}

void CallerExchange::onPause(std::function<void(bool)> handler)
{
    this->pauseHandler = std::move(handler);
}

bool CallerExchange::isPaused() const
{
    return this->connection != nullptr && this->connection->isPaused();
}

void CallerExchange::send(int status, const HeaderList &headers, std::string_view body)
{
    if (CallerConnection *const active = std::exchange(this->connection, nullptr)) {
        this->hasStarted = true;
        this->clearHandlers();
        active->sendWhole(status, headers, body);
    }
}

void CallerExchange::begin(int status, const HeaderList &headers)
{
    if (this->connection != nullptr && !std::exchange(this->hasStarted, true)) {
        this->connection->sendHead(status, headers);
    }
}

void CallerExchange::write(std::string_view data)
{
    if (this->connection != nullptr && !data.empty()) {
        this->connection->sendPart(data);
    }
}

void CallerExchange::end()
{
    if (CallerConnection *const active = std::exchange(this->connection, nullptr)) {
        this->clearHandlers();
        active->sendEnd();
    }
}

void CallerExchange::abort()
{
    if (CallerConnection *const active = std::exchange(this->connection, nullptr)) {
        this->clearHandlers();
        active->abort();
    }
}

void CallerExchange::disconnect()
{
    this->connection = nullptr;
    this->pauseHandler = nullptr;
    if (const std::function<void()> handler = std::exchange(this->disconnectHandler, nullptr)) {
        handler();
    }
}

void CallerExchange::notifyPause(bool isPaused)
{
    // A copy, because the handler may end the exchange, which clears its handlers.
    if (const std::function<void(bool)> handler = this->pauseHandler) {
        handler(isPaused);
    }
}

void CallerExchange::clearHandlers()
{
    this->disconnectHandler = nullptr;
    this->pauseHandler = nullptr;
}

} // namespace Dogwoodkeel
