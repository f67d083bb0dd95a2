#pragma once

#include <LibProxy/CallerServer.h>
#include <Tests/Fakes/FakeRowStore.h>

#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Stand-in for the platform's store: serves its HTTP calls from the rows of a FakeRowStore. */
class StandInStore
{
public:
    /** How it responds to requests. */
    enum class ResponseMode {
        Serving,
        /** It answers 503. */
        Busy,
        /** It accepts requests and never answers. */
        Unresponsive,
        /** It sends nothing, also not for requests that it accepted before. */
        Silent,
    };

    StandInStore(EventLoop &loop, const Clock &clock);

    /** Opens another route to the rows of a store, with a response mode of its own. */
    StandInStore(EventLoop &loop, const Clock &clock, StandInStore &shared);

    const Address &address() const;
    FakeRowStore &rows();
    void setResponseMode(ResponseMode responseMode);

    /** Answers 503 to requests that read or follow this table; an empty name lifts this. */
    void setUnavailableTable(const std::string &table);

    /** Targets and bodies of the requests that it received and did not answer. */
    std::vector<std::string> unanswered;

private:
    /** @return its own steady time, which differs from the clock of every node. */
    std::int64_t nowMs() const;
    /** Sends a response, unless the store is silent. */
    void answer(const std::shared_ptr<CallerExchange> &exchange, int status, const std::string &body) const;
    void handle(const std::shared_ptr<CallerExchange> &exchange);
    void transact(const std::shared_ptr<CallerExchange> &exchange);
    void read(const std::shared_ptr<CallerExchange> &exchange, const std::string &query);
    void follow(const std::shared_ptr<CallerExchange> &exchange, const std::string &query);

    StandInStore(EventLoop &loop, const Clock &clock, std::shared_ptr<FakeRowStore> rows);

    const Clock &clock;
    std::shared_ptr<FakeRowStore> store;
    ResponseMode responseMode = ResponseMode::Serving;
    std::string unavailableTable;
    CallerServer server;
};

} // namespace Dogwoodkeel
