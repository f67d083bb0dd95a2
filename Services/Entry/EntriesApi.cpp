#include <Services/Entry/EntriesApi.h>

#include <LibHttp/QueryNumbers.h>
#include <LibMembership/EntrySelector.h>
#include <Services/Entry/ApiErrors.h>

#include <nlohmann/json.hpp>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
/** A new node gets its full share of callers after this many times the time to live of a response. */
constexpr int rampUpLifetimes = 2;

} // namespace

EntriesApi::EntriesApi(EntryContext &context) : context(context)
{
}

void EntriesApi::serve(const MemberView &view, const HttpRequest &request, HttpReply &reply) const
{
    const Settings &settings = this->context.settings.current();
    QueryNumbers numbers(request.query);
    const auto count = numbers.number<std::size_t>("count", static_cast<std::size_t>(settings.entry.entryCount));
    if (!numbers.isValid()) {
        reply.send(refusalResponse({statusBadRequest, "bad_query", numbers.error(), RunState::NotRun, {}}));
        return;
    }
    const EntryQuery query{
        // A caller that sends no name is identified by its IP address.
        .caller = queryValue(request.query, "caller").value_or(request.peer.ip),
        .near = FailureDomain(queryValue(request.query, "failure_domain").value_or(settings.node.failureDomain)),
        .count = count,
    };
    const EntrySelector selector(settings.entry.entryTtl * rampUpLifetimes);
    nlohmann::json addresses = nlohmann::json::array();
    for (const EntryAddress &entry : selector.select(view, query, this->context.clock.wallNow())) {
        addresses.push_back({{"address", entry.address.toString()}, {"failure_domain", entry.failureDomain.value()}});
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(settings.entry.entryTtl).count();
    reply.send(jsonResponse(statusOk, nlohmann::json({{"entries", addresses}, {"ttl_seconds", seconds}}).dump() + '\n'));
}

} // namespace Dogwoodkeel
