#pragma once

#include <LibBase/Address.h>
#include <LibHistory/History.h>
#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Ids that callers share, so that one resends the request of another, also while that is still in flight. */
class SharedIds
{
public:
    void add(const std::string &id);

    /** @param choice any number; selects one of the ids @return one of the latest ids, or nothing if there is none */
    std::optional<std::string> recent(std::uint64_t choice);

    /** Removes an id, so that it is not sent again: its last refusal stated that it did not run. */
    void retire(const std::string &id);
    std::vector<std::string> live();

private:
    std::mutex mutex;
    std::vector<std::string> ids;
};

/** Makes calls to nodes on an event loop of its own, and records the outcome of each as the caller observes it. */
class HistoryCaller
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param start start of the run, from which the recorded times count */
    HistoryCaller(std::vector<Address> nodes, Time start);

    /** @return the prompt of an id. It depends on the id alone, so that each resend is the same. */
    static std::string promptOf(const std::string &id);
    static std::string offerOf(const std::string &id);
    static constexpr std::uint32_t tokens = 12;

    CallOutcome complete(const std::string &id, std::size_t node, std::chrono::milliseconds timeout);
    CallOutcome issue(const std::string &id, std::size_t node, std::chrono::milliseconds timeout);
    CallOutcome readResult(const std::string &id, bool isCompletion, std::size_t node, std::chrono::milliseconds timeout);
    CallOutcome submitJob(const std::string &id, std::uint32_t items, std::size_t node, std::chrono::milliseconds timeout);
    CallOutcome cancelJob(const std::string &id, std::size_t node, std::chrono::milliseconds timeout);

    /** A job's status and the number of its finished items, as jobStatus() reads them; it returns nothing if they could not be
     * read. */
    struct JobStatus
    {
        std::string status;
        std::uint32_t finished = 0;
    };
    std::optional<JobStatus> jobStatus(const std::string &id, std::size_t node);

    /** @return the texts of a job's results, or nothing if they could not be read. */
    std::optional<std::map<std::uint32_t, std::string>> jobResults(const std::string &id, std::size_t node);

    const std::vector<HistoryCall> &calls() const;

private:
    HttpResponse send(std::size_t node, const HttpRequest &request, std::chrono::milliseconds timeout);
    CallOutcome record(CallKind kind,
                       const std::string &id,
                       std::size_t node,
                       const HttpRequest &request,
                       std::chrono::milliseconds timeout,
                       bool isCompletion);
    static CallOutcome outcomeOf(const HttpResponse &response);
    static std::string jobPath(const std::string &id);

    std::vector<Address> nodes;
    Time start;
    EventLoop loop;
    HttpClient client{loop};
    std::vector<HistoryCall> recorded;
    std::map<std::string, std::string> jobIds;
};

} // namespace Dogwoodkeel
