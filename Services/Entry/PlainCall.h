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
 * One call of a plain service that may be repeated and that names no id, such as a price lookup: it is passed on at
 * once, without claim or journal, and goes on when the platform is down.
 */
class PlainCall : public std::enable_shared_from_this<PlainCall>
{
public:
    /**
     * @param timeout how long the caller waits
     * @param hold counts it against its tenant's limits
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
    void waitForRoom();
    void dispatch();
    bool mayRetryAt(const Replica &chosen);
    void sendTo(Replica &replica, ConnectionChoice choice);
    void onEnd(AttemptEnd end);
    void leaveReplica(const AttemptResult &result);
    void failed(AttemptOutcome outcome, RunState run, std::string_view reason);
    void answer();
    void refuse(int status, std::string_view reason, std::string message, std::chrono::seconds retryAfter);
    void onDeadline();

    EntryContext &context;
    /** A copy: the settings may be replaced while the call runs. */
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
    /** Why the last attempt failed: the reason of the next one. */
    std::string lastFailure;
    bool mayHaveRun = false;
};

} // namespace Dogwoodkeel
