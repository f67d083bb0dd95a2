#pragma once

#include <LibBase/Identifiers.h>
#include <LibGateway/BatchTypes.h>
#include <LibPlatform/RowStore.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * The layout of batch jobs in the platform's store.
 *
 * Each job is a separate part (see RowRange) of one table. It holds the head, whose version orders all changes of the job; the
 * content, written once; and the results, which are appended and never changed. In a second table, which all nodes follow, each
 * job with items without a result has a row, and so has each workspace on a route, to order the acceptance of its jobs.
 */
namespace JobRows
{

/** The table in which each job is a separate part. */
inline constexpr const char *jobTable = "jobs";

/**
 * @param workspace the workspace that owns the job; empty if callers need no key
 * @param name the name that the caller gave the job
 * @return an id that is unique across workspaces, so that one workspace cannot access the job of another by its name
 */
JobId jobOf(const WorkspaceName &workspace, std::string_view name);

/** @return all rows of a job. */
RowRange allOf(const JobId &job);

/** @return the key of the head of a job. */
RowKey head(const JobId &job);

/** @return the key of one chunk of a job's content. */
RowKey contentChunk(const JobId &job, std::uint32_t chunk);

/** @return the rows of the head and content of a job. */
RowRange headAndContent(const JobId &job);

/** @return the row of the head of a job. */
RowRange headOnly(const JobId &job);

/** @return the rows of the results, starting at a position. */
RowRange resultsFrom(const JobId &job, std::uint64_t position);

/** The table of the jobs that have items without a result. */
inline constexpr const char *openTable = "jobs-open";

/** @return the key of the row of an open job. */
RowKey open(const JobId &job);

/** @return a range that begins with the row of an open job and is limited to one row. */
RowRange openOnly(const JobId &job);

/** @return the open job whose row has that key, or nothing if it is not the row of an open job. */
std::optional<JobId> openJobOf(const std::string &key);

/** @return the key of the row that orders the acceptance of a workspace's jobs on a route. */
RowKey acceptanceOrder(const std::string &route, const WorkspaceName &workspace);

/** @return the name of the object that holds the content of a job if it is too large for rows. */
std::string contentObject(const JobId &job);

/**
 * @param rowBytes maximum size of a row
 * @return the content in chunks that fit into rows
 */
std::vector<std::string> split(const std::string &encoded, std::size_t rowBytes);

/** @return the row writes that add a result at a position. */
std::vector<RowPut> putResult(const JobId &job, std::uint64_t position, const ItemResult &result, std::size_t rowBytes);

/**
 * @param from the position of the first row
 * @return the complete results in order of position, up to the first gap
 */
std::vector<ItemResult> readResults(const std::vector<StoredRow> &rows, std::uint64_t from);

/** @return the content in the rows of headAndContent(), or nothing if a chunk is missing. */
std::optional<JobContent> readContent(const std::vector<StoredRow> &rows, std::uint32_t chunks);

/** @return the head of a job and its version, or nothing if the rows don't hold a valid one. */
std::optional<std::pair<JobHead, RowVersion>> readHead(const std::vector<StoredRow> &rows, const JobId &job);

/** The output that an item has generated so far. */
struct Generated
{
    std::uint64_t lastEvent = 0;
    std::string output;
    /** Software version of the replicas that generated it. */
    SoftwareVersion version{};
};

/** @return the key of a part of an item's progress. */
RowKey progress(const JobId &job, const ItemProgress &part);

/** @return the rows of the progress of all items of a job. */
RowRange progressOf(const JobId &job);

/** @return the generated output by item, up to the first gap between its parts. */
std::map<std::uint32_t, Generated> readProgress(const std::vector<StoredRow> &rows);

/** @return the stored form of an item. */
JobItemRecord recordOf(const JobItem &item);

/** @return the item of a stored record. */
JobItem itemOf(const JobItemRecord &record);

} // namespace JobRows

} // namespace Dogwoodkeel
