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
 * Stores a job's items, then hands the job to its owner. The caller is told that the job is accepted only when it is
 * journalled; the items' keys are made from what they hold, so a resend writes nothing twice.
 */
class JobSubmission : public std::enable_shared_from_this<JobSubmission>
{
public:
    JobSubmission(EntryContext &context, JobRecord job, std::vector<std::string> objects, std::shared_ptr<HttpReply> reply);

    void start();

private:
    void putNext();
    void hand();
    void refuse();

    EntryContext &context;
    JobRecord job;
    std::vector<std::string> objects;
    std::shared_ptr<HttpReply> reply;
    SteadyTime deadline;
    std::size_t stored = 0;
};

} // namespace Dogwoodkeel
