#pragma once

#include <LibBatch/Job.h>
#include <LibPlatform/ObjectStore.h>
#include <LibWire/Generated/Messages.h>
#include <LibWire/PeerServer.h>
#include <Services/Owner/ObjectCache.h>

#include <memory>

namespace Dogwoodkeel
{

/** Reads a part of a job's results for a caller: those in memory, and those that were moved to objects. */
class ResultReader
{
public:
    using Respond = PeerServer::Respond<JobResultsResponse>;

    explicit ResultReader(ObjectStore &objects);

    /**
     * @param request from which item on, and how many
     * @param page where these results are, see Job::resultsFrom
     * @param respond gets the results in the order of their items; NotOwner if an object cannot be read now
     */
    void read(const JobResultsRequest &request, PageOfResults page, const Respond &respond);

private:
    /** A part of a job's results that is being read. */
    struct Reading;

    static void finishOne(Reading &reading);

    ObjectCache<ResultPage> pages;
};

} // namespace Dogwoodkeel
