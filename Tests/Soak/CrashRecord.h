#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Records, by content, how often requests that crash replicas were run and how often they crashed one. Thread-safe. */
class CrashRecord
{
public:
    /** Records that a request with this content reached a replica. */
    void recordRun(const std::string &content);

    /** Records that a replica crashed while it ran requests with these contents. */
    void recordCrash(const std::set<std::string> &contents);

    /**
     * @param crashes number of crashes after which a content must not reach replicas any more
     * @param propagationTime how long all nodes may take to learn of the last of these crashes
     * @param maxLaterRuns number of runs that are still allowed after that
     * @return a description of each content that reached replicas more often
     */
    std::vector<std::string>
    excessRuns(std::size_t crashes, std::chrono::milliseconds propagationTime, std::size_t maxLaterRuns) const;

    /** @return counts for the report. */
    std::string summary() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    mutable std::mutex mutex;
    std::map<std::string, std::vector<Time>> runs;
    std::map<std::string, std::vector<Time>> crashTimes;
};

} // namespace Dogwoodkeel
