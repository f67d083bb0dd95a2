#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Dogwoodkeel
{

/** Records when requests or prompt parts, identified by a hash, were last served. Keeps each time for at least a given span. */
class ServedTimes
{
public:
    /**
     * @param span minimum time for which an entry is kept
     * @param maxEntries with more hashes than this in one span, entries are dropped earlier
     */
    ServedTimes(const Clock &clock, std::chrono::milliseconds span, std::size_t maxEntries);

    /** Records that the hash was served now. */
    void record(std::uint64_t hash);

    /** @return when the hash was last served, or nothing if no time is kept for it. */
    std::optional<SteadyTime> last(std::uint64_t hash) const;

private:
    const Clock &clock;
    std::chrono::milliseconds span;
    std::size_t maxEntries;
    /** Entries of the current and of the previous span. */
    std::unordered_map<std::uint64_t, SteadyTime> current;
    std::unordered_map<std::uint64_t, SteadyTime> previous;
    SteadyTime spanStart;
};

} // namespace Dogwoodkeel
