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

/** Authenticates the HTTP requests of callers and operators, and routes each to its handler. */
class EntryService
{
public:
    explicit EntryService(EntryContext &context);

    /**
     * @return how to receive the request body: its size limit, and for the items of a job or file the hooks that store
     *         them as they arrive
     */
    BodyAdmission admit(const HttpRequest &head);

    void serve(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);

    void setView(MemberViewPointer view);

    /** Applies the replaced settings of the context. */
    void settingsChanged();

    /** @param waitingFor what the node waits for before it serves callers; empty when it is ready */
    void setWaitingFor(std::string waitingFor);

private:
    using Reply = std::shared_ptr<HttpReply>;

    BodyHooks receiveItems(const HttpRequest &head, const Reply &reply);
    bool servePublic(const HttpRequest &request, const Reply &reply);
    bool serveBatch(const Caller &caller, const HttpRequest &request, const Reply &reply);
    void serveCompletion(const Caller &caller, CompletionForm form, const HttpRequest &request, const Reply &reply);
    void serveService(const Caller &caller, const HttpRequest &request, const Reply &reply);
    void serveOperator(const Caller &caller, const HttpRequest &request, const Reply &reply);
    void serveResult(const Caller &caller, std::string_view id, const Reply &reply);
    /** @return a hold that keeps the request counted; null if the tenant is at a limit and the request was refused */
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
