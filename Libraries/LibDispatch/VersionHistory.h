#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace Dogwoodkeel
{

/** Which software versions the replicas of a service have had of late. */
class VersionHistory
{
public:
    explicit VersionHistory(const Clock &clock);

    /** A replica of a version is there. */
    void add(const SoftwareVersion &version);

    /** A replica of a version is gone. */
    void remove(const SoftwareVersion &version);

    /**
     * @return the version that all replicas have had for a period, or nothing if there were several, or it is not known for so
     *         long
     */
    std::optional<SoftwareVersion> sole(std::chrono::milliseconds period) const;

private:
    struct Entry
    {
        std::size_t replicas = 0;
        /** When the last one went; of no meaning while there are some. */
        SteadyTime removedAt{};
    };

    const Clock &clock;
    SteadyTime since;
    std::map<SoftwareVersion, Entry> entries;
};

} // namespace Dogwoodkeel
