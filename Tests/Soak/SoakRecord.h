#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What a kind of request promises of its runs. */
enum class Repeats {
    /** It may run more than once. */
    Allowed,
    /** It runs at most once. */
    Never,
};

/** How one try of a caller ended. */
enum class TryEnd {
    /** The whole answer. */
    Answered,
    /** 429 or 503: it has not run, and never will. */
    Refused,
    /** Anything that promises nothing. */
    Open,
};

/** All that callers and replicas have seen, and what of it breaks a promise. Used from all threads. */
class SoakRecord
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** An item that reached a replica though its job had ended. */
    struct LateItem
    {
        std::string job;
        std::string item;
        /** When its caller read the acknowledgement. */
        Time acknowledged;
        Time reached;
    };

    /** A replica begins to run a request. */
    void noteRun(const std::string &id);

    /** A caller's try is over. */
    void noteTry(const std::string &id, Repeats repeats, TryEnd end);

    /** A caller took a stream up at any node. @param wentOn whether more of it came */
    void noteTakenUp(bool wentOn);

    /** A job was accepted. @param outputs the outputs that each item may have, by its id */
    void noteJob(const std::string &job, const std::map<std::string, std::set<std::string>> &outputs);

    /** A submission was refused, with the word that nothing of it will run. @param items their ids */
    void noteRefusedJob(const std::vector<std::string> &items);

    /** A job's results were read. @param results output by position, from the first on */
    void
    noteResults(const std::string &job, std::uint64_t total, const std::vector<std::pair<std::string, std::string>> &results);

    /** The end of a job is asked for. Also without an acknowledgement it may take effect: its items need not be done. */
    void noteEndAsked(const std::string &job);

    /** The end of a job was acknowledged to its caller. */
    void noteEndAcknowledged(const std::string &job);

    /** @return items that reached a replica later than so long after the end of their job was acknowledged. */
    std::vector<LateItem> itemsAfterEnd(std::chrono::milliseconds bound) const;

    /** A promise was broken. */
    void violate(const std::string &what);

    /** @return jobs that were accepted, that nobody wanted to end, and that are not known to be complete. */
    std::vector<std::string> openJobs() const;

    /** Look at what can be told only at the end. */
    void checkEnd();

    std::vector<std::string> violations() const;

    /** @return counts, for the report. */
    std::string summary() const;

private:
    struct Job
    {
        std::map<std::string, std::set<std::string>> outputs;
        std::vector<std::pair<std::string, std::string>> results;
        bool isEndAsked = false;
        std::optional<Time> endAcknowledged;
    };

    mutable std::mutex mutex;
    std::map<std::string, std::vector<Time>> runs;
    std::map<std::string, Repeats> repeats;
    std::set<std::string> refused;
    std::set<std::string> refusedItems;
    std::map<std::string, Job> jobs;
    std::vector<std::string> broken;
    int answered = 0;
    int open = 0;
    int takenUp = 0;
    int wentOn = 0;
};

} // namespace Dogwoodkeel
