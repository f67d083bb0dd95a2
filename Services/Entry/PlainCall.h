#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpTypes.h>
#include <LibRouting/Quarantine.h>
#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/Attempt.h>
#include <Services/Entry/EntryContext.h>

#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Runs one call of a plain service that may be repeated and has no request id, such as a price lookup. It is
 * forwarded at once, without a claim or a journal record, and works while the platform is down.
 */
class PlainCall : public std::enable_shared_from_this<PlainCall>
{
public:
    /**
     * @param timeout how long the caller waits
     * @param hold counts the call against its tenant's limits
     */
    PlainCall(EntryContext &context,
              const ServiceSettings &service,
              WorkspaceName tenant,
              HttpRequest request,
              std::chrono::milliseconds timeout,
              std::shared_ptr<HttpReply> reply,
              LimitSharing::Hold hold);

    void start();

private:
    void waitForCapacity();
    void dispatch();
    bool mayRetryAt(const Replica &selected);
    void sendTo(Replica &replica, ConnectionChoice choice);
    void onEnd(AttemptEnd end);
    void leaveReplica(const AttemptResult &result);
    void failed(AttemptOutcome outcome, RunState run, std::string_view reason);
    void answer();
    void refuse(int status, std::string_view reason, std::string message, std::chrono::seconds retryAfter);
    void onDeadline();

    EntryContext &context;
    /** A copy, as the settings may be replaced while the call runs. */
    ServiceSettings service;
    WorkspaceName tenant;
    HttpRequest request;
    ContentFingerprint content;
    std::shared_ptr<HttpReply> reply;
    LimitSharing::Hold hold;
    SteadyTime started;
    std::chrono::milliseconds timeout;
    TimerId deadlineTimer = 0;
    Admission::Ticket ticket = 0;
    Replica *replica = nullptr;
    SteadyTime sent{};
    std::unique_ptr<Attempt> attempt;
    HttpResponse response;
    std::vector<EndpointName> tried;
    FailureDomain failedDomain;
    /** Why the last attempt failed; counted as the reason of the next retry. */
    std::string lastFailure;
    bool mayHaveRun = false;
};

} // namespace Dogwoodkeel
