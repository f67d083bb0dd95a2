#include <LibGateway/JobRows.h>

#include <LibBase/Hash.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <cstdio>

namespace Dogwoodkeel::JobRows
{

namespace
{

constexpr const char *headKey = "head";
constexpr const char *contentPrefix = "content/";
constexpr const char *progressPrefix = "progress/";
constexpr const char *resultPrefix = "result/";
constexpr std::string_view openPrefix = "job/";
/**
 * Sorts before the rows of open jobs, so that a reader that pages through the table has the version of this row before it counts
 * the jobs, and detects that another job was accepted meanwhile.
 */
constexpr const char *orderPrefix = "accepted/";
/**
 * The store limits rows by the size in which they are sent, base64, which takes four bytes for three. 7/10 instead of 3/4 leaves
 * capacity for the remainder of the row.
 */
constexpr std::size_t encodedNumerator = 7;
constexpr std::size_t encodedDenominator = 10;

std::string resultKey(std::uint64_t position)
{
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%s%09llu", resultPrefix, static_cast<unsigned long long>(position));
    return digits;
}

std::string chunkKey(const std::string &prefix, std::size_t chunk)
{
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%04zu", chunk);
    return prefix + digits;
}

/** @return a name that is unique across workspaces, and valid in row keys and object names. */
std::string scoped(const WorkspaceName &workspace, std::string_view name)
{
    if (workspace.value().empty()) {
        return std::string(name);
    }
    char prefix[32];
    std::snprintf(prefix, sizeof(prefix), "%016llx.", static_cast<unsigned long long>(stableHash(workspace.value())));
    return std::string(prefix).append(name);
}

} // namespace

JobId jobOf(const WorkspaceName &workspace, std::string_view name)
{
    return JobId(scoped(workspace, name));
}

RowRange allOf(const JobId &job)
{
    return {jobTable, job.value(), "", "", 0};
}

RowKey head(const JobId &job)
{
    return {jobTable, job.value(), headKey};
}

RowKey contentChunk(const JobId &job, std::uint32_t chunk)
{
    return {jobTable, job.value(), chunkKey(contentPrefix, chunk)};
}

RowRange headAndContent(const JobId &job)
{
    return {jobTable, job.value(), "", std::string(headKey) + '~', 0};
}

RowRange headOnly(const JobId &job)
{
    return {jobTable, job.value(), headKey, std::string(headKey) + '~', 0};
}

RowRange resultsFrom(const JobId &job, std::uint64_t position)
{
    return {jobTable, job.value(), resultKey(position), "", 0};
}

RowKey open(const JobId &job)
{
    return {openTable, "", std::string(openPrefix) + job.value()};
}

RowRange openOnly(const JobId &job)
{
    return {openTable, "", open(job).key, "", 1};
}

std::optional<JobId> openJobOf(const std::string &key)
{
    return key.starts_with(openPrefix) ? std::optional(JobId(key.substr(openPrefix.size()))) : std::nullopt;
}

RowKey acceptanceOrder(const std::string &route, const WorkspaceName &workspace)
{
    return {openTable, "", orderPrefix + scoped(workspace, route)};
}

std::string contentObject(const JobId &job)
{
    return "job-content-" + job.value();
}

std::vector<std::string> split(const std::string &encoded, std::size_t rowBytes)
{
    const std::size_t size = std::max<std::size_t>(1, rowBytes * encodedNumerator / encodedDenominator);
    std::vector<std::string> chunks;
    for (std::size_t offset = 0; offset < encoded.size(); offset += size) {
        chunks.push_back(encoded.substr(offset, size));
    }
    return chunks;
}

std::vector<RowPut> putResult(const JobId &job, std::uint64_t position, const ItemResult &result, std::size_t rowBytes)
{
    const ItemResultRecord record{result.id.value(), result.outcome == ItemOutcome::Completed, result.output};
    const std::vector<std::string> chunks = split(encode(record), rowBytes);
    std::vector<RowPut> puts;
    for (std::size_t chunk = 0; chunk < chunks.size(); ++chunk) {
        // The last chunk has a distinct key, so that a reader detects that the result is complete.
        const bool isLast = chunk + 1 == chunks.size();
        const std::string key = resultKey(position) + (isLast ? "/z" : chunkKey("/p", chunk));
        puts.push_back({{jobTable, job.value(), key}, chunks[chunk]});
    }
    return puts;
}

std::vector<ItemResult> readResults(const std::vector<StoredRow> &rows, std::uint64_t from)
{
    std::vector<ItemResult> results;
    std::string encoded;
    for (const StoredRow &row : rows) {
        const std::string expected = resultKey(from + results.size());
        if (!row.key.key.starts_with(expected)) {
            break;
        }
        encoded.append(row.value);
        if (!row.key.key.ends_with("/z")) {
            continue;
        }
        const std::optional<ItemResultRecord> record = decode<ItemResultRecord>(encoded);
        if (!record) {
            break;
        }
        const ItemOutcome outcome = record->isCompleted ? ItemOutcome::Completed : ItemOutcome::Abandoned;
        results.push_back({ItemId(record->id), outcome, record->output});
        encoded.clear();
    }
    return results;
}

std::optional<JobContent> readContent(const std::vector<StoredRow> &rows, std::uint32_t chunks)
{
    std::string encoded;
    std::uint32_t found = 0;
    for (const StoredRow &row : rows) {
        if (row.key.key.starts_with(contentPrefix)) {
            encoded.append(row.value);
            ++found;
        }
    }
    return found == chunks ? decode<JobContent>(encoded) : std::nullopt;
}

std::optional<std::pair<JobHead, RowVersion>> readHead(const std::vector<StoredRow> &rows, const JobId &job)
{
    const auto found = std::ranges::find(rows, head(job), &StoredRow::key);
    if (found == rows.end()) {
        return std::nullopt;
    }
    const std::optional<JobHead> decoded = decode<JobHead>(found->value);
    return decoded ? std::optional(std::pair(*decoded, found->version)) : std::nullopt;
}

RowKey progress(const JobId &job, const ItemProgress &part)
{
    char digits[64];
    std::snprintf(
        digits, sizeof(digits), "%s%06u/%09llu", progressPrefix, part.item, static_cast<unsigned long long>(part.firstEvent));
    return {jobTable, job.value(), digits};
}

RowRange progressOf(const JobId &job)
{
    return {jobTable, job.value(), progressPrefix, std::string(progressPrefix) + '~', 0};
}

std::map<std::uint32_t, Generated> readProgress(const std::vector<StoredRow> &rows)
{
    // Two runners may have written parts of the same item concurrently. A part continues another only if it is from the same run,
    // or from a run of the same software version that was resumed exactly there. Any other combination is a text that no
    // replica generated.
    std::map<std::uint32_t, Generated> items;
    std::map<std::uint32_t, std::uint64_t> lastRuns;
    for (const StoredRow &row : rows) {
        const std::optional<ItemProgress> part = decode<ItemProgress>(row.value);
        if (!part) {
            continue;
        }
        Generated &generated = items[part->item];
        std::uint64_t &lastRun = lastRuns[part->item];
        const bool isNext = part->firstEvent == generated.lastEvent + 1 && part->lastEvent >= part->firstEvent;
        const bool isSameRun = generated.lastEvent > 0 && part->firstRun == lastRun;
        const bool isSameVersion = generated.lastEvent == 0 || part->version == generated.version;
        if (isNext && isSameVersion && (isSameRun || part->firstRunAfter == generated.lastEvent)) {
            generated.version = part->version;
            generated.output.append(part->firstEvent > 1 ? "\n" : "").append(part->output);
            generated.lastEvent = part->lastEvent;
            lastRun = part->lastRun;
        }
    }
    return items;
}

JobItemRecord recordOf(const JobItem &item)
{
    JobItemRecord record{item.id.value(), item.target, {}, item.body, item.tokens};
    for (const HeaderField &field : item.headers.fields()) {
        record.headers.push_back({field.name, field.value});
    }
    return record;
}

JobItem itemOf(const JobItemRecord &record)
{
    JobItem item{ItemId(record.id), record.target, {}, record.body, record.tokens};
    for (const HeaderRecord &header : record.headers) {
        item.headers.add(header.name, header.value);
    }
    return item;
}

} // namespace Dogwoodkeel::JobRows
