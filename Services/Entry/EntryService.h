#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibHttp/HttpTypes.h>
#include <LibMembership/MemberView.h>
#include <Services/Entry/Authenticator.h>
#include <Services/Entry/BatchApi.h>
#include <Services/Entry/Completion.h>
#include <Services/Entry/EntriesApi.h>
#include <Services/Entry/EntryContext.h>

#include <memory>
#include <string_view>

namespace Dogwoodkeel
{

/** Takes each request of callers and operators to what answers it. */
class EntryService
{
public:
    explicit EntryService(EntryContext &context);

    /** @return how a request's body is taken: only the items of a job may be large, and they are stored as they come. */
    BodyAdmission admit(const HttpRequest &head);

    void serve(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);

    void setView(MemberViewPointer view);

    /** The settings of the context were replaced. */
    void settingsChanged();

    /** @param waitingFor what the node waits for before it takes callers; empty when it is ready */
    void setWaitingFor(std::string waitingFor);

private:
    using Reply = std::shared_ptr<HttpReply>;

    BodyHooks takeItems(const HttpRequest &head, const Reply &reply);
    bool serveOpen(const HttpRequest &request, const Reply &reply);
    bool serveBatch(const Caller &caller, const HttpRequest &request, const Reply &reply);
    void serveCompletion(const Caller &caller, CompletionForm form, const HttpRequest &request, const Reply &reply);
    void serveService(const Caller &caller, const HttpRequest &request, const Reply &reply);
    void serveOperator(const Caller &caller, const HttpRequest &request, const Reply &reply);
    void serveResult(const Caller &caller, std::string_view id, const Reply &reply);
    /** @return what keeps the request counted; null if its tenant is at a limit, which the caller has been told */
    LimitSharing::Hold admit(const Caller &caller, LimitClass kind, const HttpRequest &request, const Reply &reply);
    RequestId requestIdOf(const Caller &caller, const HttpRequest &request);

    EntryContext &context;
    Authenticator authenticator;
    BatchApi batches;
    EntriesApi entries;
    MemberViewPointer view;
    std::string waitingFor;
};

} // namespace Dogwoodkeel
