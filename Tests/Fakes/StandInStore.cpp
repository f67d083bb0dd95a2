#include <Tests/Fakes/StandInStore.h>

#include <LibBase/Encoding.h>
#include <LibHttp/HttpTypes.h>

#include <nlohmann/json.hpp>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

std::string parameter(const std::string &query, const char *name)
{
    return queryValue(query, name).value_or("");
}

RowKey rowKeyOf(const Json &entry)
{
    return {entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
}

Json encodeRows(const std::vector<StoredRow> &rows)
{
    Json list = Json::array();
    for (const StoredRow &row : rows) {
        Json entry{{"table", row.key.table}, {"part", row.key.part}, {"key", row.key.key}, {"ver", row.version}};
        if (row.isRemoved) {
            entry["deleted"] = true;
        } else {
            entry["value"] = encodeBase64(row.value);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace

StandInStore::StandInStore(EventLoop &loop, const Clock &clock) : StandInStore(loop, clock, std::make_shared<FakeRowStore>(loop))
{
}

StandInStore::StandInStore(EventLoop &loop, const Clock &clock, StandInStore &shared) : StandInStore(loop, clock, shared.store)
{
}

StandInStore::StandInStore(EventLoop &loop, const Clock &clock, std::shared_ptr<FakeRowStore> rows)
    : clock(clock)
    , store(std::move(rows))
    , server(loop, clock, {"127.0.0.1", 0}, {}, [this](const std::shared_ptr<CallerExchange> &exchange) {
        this->handle(exchange);
    })
{
}

const Address &StandInStore::address() const
{
    return this->server.address();
}

FakeRowStore &StandInStore::rows()
{
    return *this->store;
}

void StandInStore::setResponseMode(ResponseMode responseMode)
{
    this->responseMode = responseMode;
}

void StandInStore::setUnavailableTable(const std::string &table)
{
    this->unavailableTable = table;
}

std::int64_t StandInStore::nowMs() const
{
    constexpr std::chrono::hours clockOffset{1000};
    return std::chrono::floor<std::chrono::milliseconds>(this->clock.now().time_since_epoch() + clockOffset).count();
}

void StandInStore::answer(const std::shared_ptr<CallerExchange> &exchange, int status, const std::string &body) const
{
    if (this->responseMode == ResponseMode::Silent) {
        return;
    }
    HeaderList headers;
    if (!body.empty()) {
        headers.add("Content-Type", "application/json");
    }
    exchange->send(status, headers, body);
}

void StandInStore::handle(const std::shared_ptr<CallerExchange> &exchange)
{
    if (this->responseMode == ResponseMode::Unresponsive || this->responseMode == ResponseMode::Silent) {
        this->unanswered.push_back(exchange->head().target + " " + exchange->body());
        return;
    }
    if (this->responseMode == ResponseMode::Busy) {
        exchange->send(503, {}, {});
        return;
    }
    const std::string &target = exchange->head().target;
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, mark);
    const std::string query = target.substr(std::min(mark + 1, target.size()));
    const bool isUnavailable = !this->unavailableTable.empty() && parameter(query, "table") == this->unavailableTable;
    if (isUnavailable) {
        exchange->send(503, {}, {});
    } else if (path == "/rows-tx") {
        this->transact(exchange);
    } else if (path == "/rows-get") {
        this->read(exchange, query);
    } else if (path == "/rows-feed") {
        this->follow(exchange, query);
    } else {
        exchange->send(404, {}, {});
    }
}

void StandInStore::transact(const std::shared_ptr<CallerExchange> &exchange)
{
    const Json body = Json::parse(exchange->body());
    RowTransaction transaction;
    for (const Json &entry : body["expectedRev"]) {
        transaction.expectations.push_back({rowKeyOf(entry), entry["ver"].get<RowVersion>()});
    }
    for (const Json &entry : body["puts"]) {
        transaction.puts.push_back({rowKeyOf(entry), decodeBase64(entry["value"].get<std::string>()).value()});
    }
    for (const Json &entry : body["remove"]) {
        transaction.removals.push_back(rowKeyOf(entry));
    }
    this->store->transact(std::move(transaction), [this, exchange](const RowTransactionResult &result) {
        if (result.outcome == WriteOutcome::Done) {
            this->answer(exchange, 200, Json{{"ver", result.version}, {"nowMs", this->nowMs()}}.dump());
        } else if (result.outcome == WriteOutcome::Refused) {
            this->answer(exchange, 412, Json{{"rows", encodeRows(result.current)}}.dump());
        } else if (result.outcome == WriteOutcome::NotApplied) {
            this->answer(exchange, 503, {});
        }
    });
}

void StandInStore::read(const std::shared_ptr<CallerExchange> &exchange, const std::string &query)
{
    const RowRange range{
        parameter(query, "table"), parameter(query, "part"), parameter(query, "from"), parameter(query, "to"), 0};
    this->store->read(range, [this, exchange](const RowRangeResult &result) {
        if (result.outcome != ReadOutcome::Found) {
            this->answer(exchange, 503, {});
            return;
        }
        this->answer(exchange,
                     200,
                     Json{{"rows", encodeRows(result.rows)},
                          {"truncated", result.isTruncated},
                          {"ver", result.version},
                          {"nowMs", this->nowMs()}}
                         .dump());
    });
}

void StandInStore::follow(const std::shared_ptr<CallerExchange> &exchange, const std::string &query)
{
    const RowVersion since = std::stoull(parameter(query, "afterRev"));
    const std::chrono::milliseconds wait(std::stoll(parameter(query, "waitMs")));
    this->store->follow(parameter(query, "table"), since, wait, [this, exchange](const FollowResult &result) {
        if (result.outcome == FollowOutcome::HistoryLost) {
            this->answer(exchange, 410, {});
        } else if (result.outcome == FollowOutcome::Failed) {
            this->answer(exchange, 503, {});
        } else {
            this->answer(
                exchange, 200, Json{{"rows", encodeRows(result.rows)}, {"ver", result.version}, {"nowMs", this->nowMs()}}.dump());
        }
    });
}

} // namespace Dogwoodkeel
