#pragma once

#include <LibGateway/ServingConfiguration.h>
#include <LibProxy/CallerExchange.h>
#include <Services/Gateway/GatewayContext.h>
#include <Services/Gateway/JobStore.h>
#include <platform/JobFormat.h>

#include <chrono>
#include <functional>
#include <memory>

namespace Dogwoodkeel
{

/** Answers the HTTP calls of callers on batch jobs: submitting, reading and ending them. */
class JobApi
{
public:
    using Exchange = std::shared_ptr<CallerExchange>;

    using JobHook = std::function<void(const JobId &)>;

    /** Timeout of a caller that states none. */
    static constexpr std::chrono::milliseconds defaultTimeout{3000};

    /**
     * @param accepted called for each job that this node has accepted
     * @param broadcastEnd reports to all nodes that a job was ended
     */
    JobApi(GatewayContext &context, JobStore &store, JobHook accepted, JobHook broadcastEnd);

    /** @param workspace that the job belongs to; null if callers need no key */
    void submit(const Route &route, const Workspace *workspace, const Exchange &exchange);

    /** @param workspace whose jobs the caller may access; null if callers need no key */
    void answer(const JobCall &call, const Workspace *workspace, const Exchange &exchange);

private:
    void readResults(const JobId &job, std::uint64_t from, const Exchange &exchange);
    void readItem(const JobId &job, const ItemId &item, const Exchange &exchange);
    void end(const JobId &job, const Exchange &exchange);
    void reply(const Exchange &exchange, const std::string &what, const JobId &job, int status, const std::string &body = {});

    GatewayContext &context;
    JobStore &store;
    JobHook accepted;
    JobHook broadcastEnd;
};

} // namespace Dogwoodkeel
