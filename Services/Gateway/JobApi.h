#pragma once

#include <LibGateway/ServingConfiguration.h>
#include <LibProxy/CallerExchange.h>
#include <Services/Gateway/GatewayContext.h>
#include <Services/Gateway/JobStore.h>
#include <platform/JobFormat.h>

#include <functional>
#include <memory>

namespace Dogwoodkeel
{

/** Answers the calls on batch jobs. */
class JobApi
{
public:
    using Exchange = std::shared_ptr<CallerExchange>;

    using JobHook = std::function<void(const JobId &)>;

    /**
     * @param accepted told of each job that this node has accepted
     * @param tellEnded tells all nodes that a job was ended
     */
    JobApi(GatewayContext &context, JobStore &store, JobHook accepted, JobHook tellEnded);

    void submit(const Route &route, const Exchange &exchange);
    void answer(const JobCall &call, const Exchange &exchange);

private:
    void readResults(const ReadResultsCall &call, const Exchange &exchange);
    void readItem(const ReadItemCall &call, const Exchange &exchange);
    void end(const EndJobCall &call, const Exchange &exchange);
    void reply(const Exchange &exchange, const std::string &what, const JobId &job, int status, const std::string &body = {});

    GatewayContext &context;
    JobStore &store;
    JobHook accepted;
    JobHook tellEnded;
};

} // namespace Dogwoodkeel
