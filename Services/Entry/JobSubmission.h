#pragma once

#include <LibHttp/HttpReply.h>
#include <LibWire/Generated/Messages.h>
#include <Services/Entry/EntryContext.h>

#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Submits a job whose items are stored to the job's owner. The caller gets the "accepted" response only after the owner
 * has journalled the job and the manifest of its custom ids is stored.
 */
class JobSubmission : public std::enable_shared_from_this<JobSubmission>
{
public:
    /** @param idObjects keys of the objects with the items' custom ids; empty if there are none */
    JobSubmission(EntryContext &context, JobRecord job, std::vector<std::string> idObjects, std::shared_ptr<HttpReply> reply);

    void start();

private:
    void onDecision(SubmitDecision decision);
    void putIds();
    void accept();
    void refuse();

    EntryContext &context;
    JobRecord job;
    std::vector<std::string> idObjects;
    std::shared_ptr<HttpReply> reply;
    SteadyTime deadline;
};

} // namespace Dogwoodkeel
