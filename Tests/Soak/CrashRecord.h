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

/** Requests that crash the replicas that run them, by their content, and what became of them. Used from all threads. */
class CrashRecord
{
public:
    /** A request with this content reached a replica. */
    void noteRun(const std::string &content);

    /** A replica has ended while it ran requests with these contents. */
    void noteEnd(const std::set<std::string> &contents);

    /**
     * @param crashes after which a content must not reach replicas any more
     * @param settling how long nodes may take to know
     * @param most how many runs may come later all the same
     * @return what reached replicas more often
     */
    std::vector<std::string> excesses(std::size_t crashes, std::chrono::milliseconds settling, std::size_t most) const;

    /** @return counts, for the report. */
    std::string summary() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    mutable std::mutex mutex;
    std::map<std::string, std::vector<Time>> runs;
    std::map<std::string, std::vector<Time>> ends;
};

} // namespace Dogwoodkeel
