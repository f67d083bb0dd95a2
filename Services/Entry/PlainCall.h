#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpTypes.h>
#include <Services/Entry/EntryContext.h>

#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * One call of a plain service that may be repeated and that names no id, such as a price lookup: it is passed on at
 * once, without claim or journal, and goes on when the platform is down.
 */
class PlainCall : public std::enable_shared_from_this<PlainCall>
{
public:
    PlainCall(EntryContext &context, const ServiceSettings &service, HttpRequest request, std::shared_ptr<HttpReply> reply);

    void start();

private:
    void dispatch();
    void onEnd(Replica &replica, ExchangeEnd end, const HttpResponse &response);

    EntryContext &context;
    /** A copy: the settings may be replaced while the call runs. */
    ServiceSettings service;
    HttpRequest request;
    std::shared_ptr<HttpReply> reply;
    SteadyTime started;
    SteadyTime deadline;
    std::vector<EndpointName> tried;
    FailureDomain failedDomain;
    bool mayHaveRun = false;
};

} // namespace Dogwoodkeel
