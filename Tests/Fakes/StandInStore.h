#pragma once

#include <LibProxy/CallerServer.h>
#include <Tests/Fakes/FakeRowStore.h>

#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** Stand-in for the platform's store that speaks its HTTP calls, before the rows of a FakeRowStore. */
class StandInStore
{
public:
    /** How it treats its callers. */
    enum class ResponseMode {
        Serving,
        /** It answers 503. */
        Busy,
        /** It takes requests and never answers. */
        Unresponsive,
    };

    StandInStore(EventLoop &loop, const Clock &clock);

    /** Another way to the rows of a store, which can treat its callers differently. */
    StandInStore(EventLoop &loop, const Clock &clock, StandInStore &shared);

    const Address &address() const;
    FakeRowStore &rows();
    void setResponseMode(ResponseMode mood);

    /** Answer 503 to whoever reads or follows this table. */
    void setUnavailableTable(const std::string &table);

private:
    /** @return its steady time, which no node has. */
    std::int64_t nowMs() const;
    void handle(const std::shared_ptr<CallerExchange> &exchange);
    void transact(const std::shared_ptr<CallerExchange> &exchange);
    void read(const std::shared_ptr<CallerExchange> &exchange, const std::string &query);
    void follow(const std::shared_ptr<CallerExchange> &exchange, const std::string &query);

    StandInStore(EventLoop &loop, const Clock &clock, std::shared_ptr<FakeRowStore> rows);

    const Clock &clock;
    std::shared_ptr<FakeRowStore> store;
    ResponseMode mood = ResponseMode::Serving;
    std::string withheldTable;
    CallerServer server;
};

} // namespace Dogwoodkeel
