#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace Dogwoodkeel
{

/** Records which software versions the replicas of a service have run recently. */
class VersionHistory
{
public:
    explicit VersionHistory(const Clock &clock);

    /** Begins anew with the current replicas, because others may have come and gone without being recorded. */
    void restart();

    /** Records that a replica of a version was added. */
    void add(const SoftwareVersion &version);

    /** Records that a replica of a version was removed. */
    void remove(const SoftwareVersion &version);

    /**
     * A removed version counts for some minutes: its replicas serve on after their removal, nodes that have not received it still
     * use them, and callers may wait for longer than the period.
     * @return the only version that is in service, or nothing if another one was recently or the history is shorter than the
     * period
     */
    std::optional<SoftwareVersion> sole(std::chrono::milliseconds period) const;

private:
    struct Entry
    {
        std::size_t replicas = 0;
        /** When the last replica was removed; meaningless while there are replicas. */
        SteadyTime removedAt{};
    };

    const Clock &clock;
    SteadyTime since;
    std::map<SoftwareVersion, Entry> entries;
};

} // namespace Dogwoodkeel
