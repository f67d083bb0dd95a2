#include <Services/Entry/EntriesApi.h>

#include <LibMembership/EntrySelector.h>
#include <Services/Entry/ApiErrors.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
/** A new node has its full share after that many times the answers' time to live. */
constexpr int rampUpAnswers = 2;

std::size_t countOf(const HttpRequest &request, std::size_t fallback)
{
    std::size_t count = fallback;
    if (const auto text = queryValue(request.query, "count")) {
        std::from_chars(text->data(), text->data() + text->size(), count);
    }
    return count;
}

} // namespace

EntriesApi::EntriesApi(EntryContext &context) : context(context)
{
}

void EntriesApi::serve(const MemberView &view, const HttpRequest &request, HttpReply &reply) const
{
    const Settings &settings = this->context.settings.current();
    const EntryQuery query{
        // A caller that does not name itself is told by its address from the others.
        .caller = queryValue(request.query, "caller").value_or(request.peer.ip),
        .near = FailureDomain(queryValue(request.query, "failure_domain").value_or(settings.node.failureDomain)),
        .count = countOf(request, static_cast<std::size_t>(settings.entry.entryCount)),
    };
    const EntrySelector answers(settings.entry.entryTtl * rampUpAnswers);
    nlohmann::json addresses = nlohmann::json::array();
    for (const EntryAddress &entry : answers.select(view, query, this->context.clock.wallNow())) {
        addresses.push_back({{"address", entry.address.toString()}, {"failure_domain", entry.failureDomain.value()}});
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(settings.entry.entryTtl).count();
    reply.send(jsonResponse(statusOk, nlohmann::json({{"entries", addresses}, {"ttl_seconds", seconds}}).dump() + '\n'));
}

} // namespace Dogwoodkeel
