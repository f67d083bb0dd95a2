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
 * Hands a job whose items are stored to its owner. The caller is told that the job is accepted only when it is
 * journalled, and when its custom ids can be found.
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
