#pragma once

#include <Tests/Soak/Disturbances.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Records when replicas are draining or have no entry, and which requests reach them. Thread-safe. */
class DrainRecord
{
public:
    using Time = Disturbances::Time;

    /** Records that a replica accepts requests from now on, or that it is draining or gone. */
    void recordState(std::size_t replica, bool isAccepting);

    /** Records that a request reaches a replica. */
    void recordRun(std::size_t replica, const std::string &request);

    /**
     * @param bound for which requests may reach a replica after it ceased to accept them
     * @param margin for which a disturbance of the store or of any node may have an effect
     * @return a text for each request that reached a replica later, undisturbed
     */
    std::vector<std::string>
    violations(std::chrono::milliseconds bound, std::chrono::milliseconds margin, const Disturbances &disturbances) const;

    /** @return counts for the report. */
    std::string summary() const;

private:
    struct Run
    {
        std::size_t replica = 0;
        std::string request;
        Time closed;
        Time reached;
    };

    mutable std::mutex mutex;
    /** Since when replicas do not accept requests. */
    std::map<std::size_t, Time> closed;
    std::vector<Run> runs;
    std::size_t closings = 0;
};

} // namespace Dogwoodkeel
