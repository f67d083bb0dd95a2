#include "NodeStatus.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Dogwoodkeel
{

namespace
{

/** Number of consecutive failures from which an endpoint is reported as degraded. */
constexpr std::uint32_t minReportedFailures = 3;

} // namespace

StatusPart shardStatus(OwnerService &owner)
{
    const JournalWriter &journal = owner.journalWriter();
    StatusPart part;
    part.json = nlohmann::json({{"owned", owner.shardCount()},
                                {"items_waiting", owner.backlog().items},
                                {"journal_lag", journal.waiting()},
                                {"journal_stalled", journal.isStalled()}})
                    .dump();
    if (journal.isStalled()) {
        part.degradations.push_back({"the journal's writes do not go through", "see to the platform's table service"});
    }
    return part;
}

StatusPart endpointStatus(const std::list<Replica> &endpoints, std::size_t openRequests)
{
    std::size_t leaving = 0;
    std::size_t failing = 0;
    StatusPart part;
    for (const Replica &replica : endpoints) {
        leaving += replica.isLeaving ? 1 : 0;
        if (replica.consecutiveFailures >= minReportedFailures) {
            ++failing;
            part.degradations.push_back(
                {"endpoint " + replica.name.value() + " fails", "see to it, or take it out of the configuration"});
        }
    }
    part.json = nlohmann::json(
                    {{"known", endpoints.size()}, {"leaving", leaving}, {"failing", failing}, {"requests_open", openRequests}})
                    .dump();
    return part;
}

} // namespace Dogwoodkeel
