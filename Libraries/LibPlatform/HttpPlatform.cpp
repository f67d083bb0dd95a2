#include <LibPlatform/HttpPlatform.h>

#include <LibBase/Encoding.h>
#include <LibPlatform/PlatformProtocol.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConditionFailed = 412;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;

WriteOutcome writeOutcome(ExchangeEnd end, int status)
{
    if (end == ExchangeEnd::NotConnected) {
        return WriteOutcome::NotApplied;
    }
    if (end == ExchangeEnd::Incomplete) {
        return WriteOutcome::Unknown;
    }
    switch (status) {
    case statusOk:
        return WriteOutcome::Done;
    case statusConditionFailed:
        return WriteOutcome::Refused;
    case statusTooMany:
    case statusUnavailable:
        // The platform sends these two only if it has not processed the request.
        return WriteOutcome::NotApplied;
    default:
        return WriteOutcome::Unknown;
    }
}

ReadOutcome readOutcome(ExchangeEnd end, int status)
{
    if (end != ExchangeEnd::Complete) {
        return ReadOutcome::Failed;
    }
    if (status == statusNotFound) {
        return ReadOutcome::Absent;
    }
    return status == statusOk ? ReadOutcome::Found : ReadOutcome::Failed;
}

} // namespace

HttpPlatform::HttpPlatform(EventLoop &loop, Address address, std::chrono::milliseconds timeout)
    : client(loop), address(std::move(address)), timeout(timeout)
{
}

TableService &HttpPlatform::tables()
{
    return *this;
}

ObjectStore &HttpPlatform::objects()
{
    return *this;
}

VmList &HttpPlatform::vms()
{
    return *this;
}

void HttpPlatform::call(const HttpRequest &request, Answered answered)
{
    this->client.fetch(this->address, request, this->timeout, std::move(answered));
}

void HttpPlatform::read(const std::string &key, RowRead done)
{
    this->call({.method = "GET", .path = PlatformProtocol::rowPath, .query = PlatformProtocol::keyQuery(key)},
               [done = std::move(done)](ExchangeEnd end, const HttpResponse &response) {
                   RowResult result{readOutcome(end, response.status), {}};
                   if (result.outcome == ReadOutcome::Found) {
                       auto row = PlatformProtocol::decodeRow(response.body);
                       result.outcome = row ? ReadOutcome::Found : ReadOutcome::Failed;
                       result.row = std::move(row).value_or(Row());
                   }
                   done(std::move(result));
               });
}

void HttpPlatform::readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done)
{
    this->call({.method = "POST", .path = PlatformProtocol::rangePath, .body = PlatformProtocol::encodeRange(from, to, limit)},
               [done = std::move(done)](ExchangeEnd end, const HttpResponse &response) {
                   auto rows = readOutcome(end, response.status) == ReadOutcome::Found
                       ? PlatformProtocol::decodeRows(response.body)
                       : std::nullopt;
                   const ReadOutcome outcome = rows ? ReadOutcome::Found : ReadOutcome::Failed;
                   done({outcome, std::move(rows).value_or(std::vector<Row>())});
               });
}

void HttpPlatform::transact(const Transaction &transaction, TableService::Written done)
{
    this->call(
        {.method = "POST", .path = PlatformProtocol::transactionPath, .body = PlatformProtocol::encodeTransaction(transaction)},
        [done = std::move(done)](ExchangeEnd end, const HttpResponse &response) {
            done(writeOutcome(end, response.status));
        });
}

void HttpPlatform::putIfAbsent(const std::string &key, const std::string &content, ObjectStore::Written done)
{
    this->call({.method = "PUT",
                .path = PlatformProtocol::objectPath,
                .query = PlatformProtocol::keyQuery(key),
                .headers = {{"If-None-Match", "*"}},
                .body = content},
               [done = std::move(done)](ExchangeEnd end, const HttpResponse &response) {
                   done(writeOutcome(end, response.status));
               });
}

void HttpPlatform::get(const std::string &key, ObjectRead done)
{
    this->call({.method = "GET", .path = PlatformProtocol::objectPath, .query = PlatformProtocol::keyQuery(key)},
               [done = std::move(done)](ExchangeEnd end, HttpResponse response) {
                   done({readOutcome(end, response.status), std::move(response.body)});
               });
}

void HttpPlatform::list(const std::string &prefix, KeysRead done)
{
    this->call({.method = "GET", .path = PlatformProtocol::listPath, .query = PlatformProtocol::keyQuery(prefix)},
               [done = std::move(done)](ExchangeEnd end, const HttpResponse &response) {
                   auto keys = readOutcome(end, response.status) == ReadOutcome::Found
                       ? PlatformProtocol::decodeKeys(response.body)
                       : std::nullopt;
                   const ReadOutcome outcome = keys ? ReadOutcome::Found : ReadOutcome::Failed;
                   done({outcome, std::move(keys).value_or(std::vector<std::string>())});
               });
}

void HttpPlatform::remove(const std::string &key, ObjectStore::Written done)
{
    this->call({.method = "DELETE", .path = PlatformProtocol::objectPath, .query = PlatformProtocol::keyQuery(key)},
               [done = std::move(done)](ExchangeEnd end, const HttpResponse &response) {
                   done(writeOutcome(end, response.status));
               });
}

void HttpPlatform::fetch(Fetched done)
{
    this->call({.method = "GET", .path = PlatformProtocol::vmsPath},
               [done = std::move(done)](ExchangeEnd end, const HttpResponse &response) {
                   const bool isFound = readOutcome(end, response.status) == ReadOutcome::Found;
                   done(isFound ? PlatformProtocol::decodeVms(response.body) : std::nullopt);
               });
}

} // namespace Dogwoodkeel
