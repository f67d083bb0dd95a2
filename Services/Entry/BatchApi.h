#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpTypes.h>
#include <Services/Entry/Authenticator.h>
#include <Services/Entry/EntryContext.h>

#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** The HTTP calls on batch jobs: submit, status, results, cancel. */
class BatchApi
{
public:
    explicit BatchApi(EntryContext &context);

    /** POST /v1/batches: JSON lines in the body, an item a line. */
    void submit(const Caller &caller, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    /** GET /v1/batches/{id} */
    void status(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply);
    /** GET /v1/batches/{id}/results?from=N&limit=N: JSON lines in item order. */
    void results(const Caller &caller, const JobId &job, const std::string &query, const std::shared_ptr<HttpReply> &reply);
    /** POST /v1/batches/{id}/cancel */
    void cancel(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply);

private:
    EntryContext &context;
};

} // namespace Dogwoodkeel
