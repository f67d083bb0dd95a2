#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpTypes.h>
#include <Services/Entry/Authenticator.h>
#include <Services/Entry/CustomIds.h>
#include <Services/Entry/EntryContext.h>
#include <Services/Entry/JobUpload.h>

#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** Serves the HTTP API for batch jobs and the files they are made from. */
class BatchApi
{
public:
    explicit BatchApi(EntryContext &context);

    /**
     * POST /v1/batches: submits a job, either as JSON lines or as a JSON object with the input_file_id of a file.
     * @return hooks that receive the body as it arrives
     */
    BodyHooks submit(const Caller &caller, const HttpRequest &head, const std::shared_ptr<HttpReply> &reply);
    /** POST /v1/files: stores a file of JSON lines. @return hooks that receive the body as it arrives */
    BodyHooks uploadFile(const Caller &caller, const std::shared_ptr<HttpReply> &reply);
    /** GET /v1/batches?limit=N: lists the caller's jobs, newest first. */
    void list(const Caller &caller, const std::string &query, const std::shared_ptr<HttpReply> &reply);
    /** GET /v1/batches/{id} */
    void status(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply);
    /** GET /v1/batches/{id}/results?from=N&limit=N: JSON lines in item order. */
    void results(const Caller &caller, const JobId &job, const std::string &query, const std::shared_ptr<HttpReply> &reply);
    /** POST /v1/batches/{id}/cancel */
    void cancel(const Caller &caller, const JobId &job, const std::shared_ptr<HttpReply> &reply);

private:
    BodyHooks uploadJob(const Caller &caller, const HttpRequest &head, const std::shared_ptr<HttpReply> &reply);
    void
    submitFile(const Caller &caller, const HttpRequest &head, const std::string &file, const std::shared_ptr<HttpReply> &reply);
    void submitItems(const Caller &caller, const HttpRequest &head, StoredItems items, const std::shared_ptr<HttpReply> &reply);
    void storeFile(const Caller &caller, const StoredItems &items, const std::shared_ptr<HttpReply> &reply);
    void sendResults(const JobId &job, const JobResultsResponse &response, const std::shared_ptr<HttpReply> &reply);

    EntryContext &context;
    CustomIds customIds;
};

} // namespace Dogwoodkeel
