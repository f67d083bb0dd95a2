#pragma once

#include <Tests/Soak/Disturbances.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Records the configurations that were written, and by which of them nodes handled requests. Each version has a route of its own,
 * which the next one drops. Thread-safe.
 */
class ConfigurationRecord
{
public:
    using Time = Disturbances::Time;

    /** The answer to a request on the route of a version. */
    struct Answer
    {
        std::size_t node = 0;
        std::uint64_t version = 0;
        Time sent;
        Time received;
        int status = 0;
        /** The newest version whose effect was seen before on the same connection, and thus of the same process. */
        std::uint64_t effective = 0;
    };

    /** Records that a version was written to the store. */
    void recordVersion(std::uint64_t version);

    /** @return the newest version; 0: none. */
    std::uint64_t newest() const;

    /** Records an answer. */
    void recordAnswer(const Answer &answer);

    /**
     * Compares the answers with the versions that had to be in force.
     * @param bound in which each version must be in force on all nodes
     * @param margin for which a disturbance of the store or of a node may have an effect
     * @param disturbances those of the store and of the nodes, by their names
     * @return a text for each answer by another version
     */
    std::vector<std::string>
    violations(std::chrono::milliseconds bound, std::chrono::milliseconds margin, const Disturbances &disturbances) const;

    /** @return counts for the report. */
    std::string summary() const;

private:
    /** @return whether the version that followed must have been in force, so that the route had been dropped. */
    bool isDropped(const Answer &answer, std::chrono::milliseconds bound) const;
    /** @return whether the version must have been in force, and its route was not dropped yet. */
    bool isInForce(const Answer &answer, std::chrono::milliseconds bound) const;

    mutable std::mutex mutex;
    std::map<std::uint64_t, Time> written;
    std::vector<Answer> answers;
};

} // namespace Dogwoodkeel
