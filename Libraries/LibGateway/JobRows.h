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
 * How batch jobs lie in the platform's store.
 *
 * Each job is a part of its own in one table: its head, whose version orders all changes of the job; its content, written
 * once; and its results, one after the other, never changed. Beside them, each job that has items without a result has a
 * row in a table that all nodes follow, and each workspace on a route a row there that orders the acceptance of its jobs.
 */
namespace JobRows
{

/** The table in which each job is a part of its own. */
inline constexpr const char *jobTable = "jobs";

/**
 * @param workspace whose job it is; empty if callers need no key
 * @param name by which its caller knows it
 * @return the job among those of all workspaces, so that one workspace can't meet the job of another by its name
 */
JobId jobOf(const WorkspaceName &workspace, std::string_view name);

/** @return all rows of a job. */
RowRange allOf(const JobId &job);

/** @return where the head of a job lies. */
RowPlace head(const JobId &job);

/** @return where one row of a job's content lies. */
RowPlace contentPiece(const JobId &job, std::uint32_t piece);

/** @return the rows of a job's head and content. */
RowRange headAndContent(const JobId &job);

/** @return the rows of a job's head alone. */
RowRange headOnly(const JobId &job);

/** @return the rows of the results from a position on. */
RowRange resultsFrom(const JobId &job, std::uint64_t position);

/** The table of the jobs that have items without a result. */
inline constexpr const char *openTable = "jobs-open";

/** @return the row of an open job. */
RowPlace open(const JobId &job);

/** @return a range that begins with the row of an open job, and holds no more than one row. */
RowRange openOnly(const JobId &job);

/** @return the job whose open row has that key, or nothing if it is another row. */
std::optional<JobId> openJobOf(const std::string &key);

/** @return the row that orders the acceptance of a workspace's jobs on a route. */
RowPlace acceptanceOrder(const std::string &route, const WorkspaceName &workspace);

/** @return the name of the object that holds a content that is too large for rows. */
std::string contentObject(const JobId &job);

/**
 * @param rowBytes the largest row
 * @return the content in pieces that fit into rows
 */
std::vector<std::string> split(const std::string &encoded, std::size_t rowBytes);

/** @return the puts that add a result at a position. */
std::vector<RowPut> putResult(const JobId &job, std::uint64_t position, const ItemResult &result, std::size_t rowBytes);

/**
 * @param from the position of the first row
 * @return the results whose rows are all there, in the order of their positions without a gap
 */
std::vector<ItemResult> readResults(const std::vector<StoredRow> &rows, std::uint64_t from);

/** @return the content in the rows of headAndContent(), or nothing if a piece is missing. */
std::optional<JobContent> readContent(const std::vector<StoredRow> &rows, std::uint32_t pieces);

/** @return the head and its version among rows. */
std::optional<std::pair<JobHead, RowVersion>> readHead(const std::vector<StoredRow> &rows, const JobId &job);

/** What an item has generated so far. */
struct Generated
{
    std::uint64_t lastEvent = 0;
    std::string output;
    /** Of the replicas that generated it. */
    SoftwareVersion version{};
};

/** @return where a part of an item's progress lies. */
RowPlace progress(const JobId &job, const ItemProgress &part);

/** @return the rows of the progress of a job's items. */
RowRange progressOf(const JobId &job);

/** @return what each item has generated, as far as its parts follow each other without a gap. */
std::map<std::uint32_t, Generated> readProgress(const std::vector<StoredRow> &rows);

/** @return an item as it is kept. */
JobItemRecord recordOf(const JobItem &item);

/** @return an item as it was submitted. */
JobItem itemOf(const JobItemRecord &record);

} // namespace JobRows

} // namespace Dogwoodkeel
