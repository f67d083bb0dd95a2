#pragma once

#include <LibBatch/Job.h>
#include <LibPlatform/ObjectStore.h>
#include <LibWire/Generated/Messages.h>
#include <LibWire/PeerServer.h>
#include <Services/Owner/ObjectCache.h>

#include <memory>

namespace Dogwoodkeel
{

/** Reads a range of the results of a job, both those in memory and those that were moved to objects. */
class ResultReader
{
public:
    using Respond = PeerServer::Respond<JobResultsResponse>;

    explicit ResultReader(ObjectStore &objects);

    /**
     * @param request the first item and the number of items
     * @param page location of these results, see Job::resultsFrom
     * @param respond receives the results in the order of their items, or NotOwner if an object cannot be read now
     */
    void read(const JobResultsRequest &request, PageOfResults page, const Respond &respond);

private:
    /** The state of one read. */
    struct Reading;

    static void finishOne(Reading &reading);

    ObjectCache<ResultPage> pages;
};

} // namespace Dogwoodkeel
