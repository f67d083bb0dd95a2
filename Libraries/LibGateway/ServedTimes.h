#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Dogwoodkeel
{

/** Remembers when replicas last served something, by its hash, for a span of time at least. */
class ServedTimes
{
public:
    /**
     * @param span how long a time is remembered at least
     * @param most beyond so many hashes in one span times are forgotten sooner
     */
    ServedTimes(const Clock &clock, std::chrono::milliseconds span, std::size_t most);

    /** It was served now. */
    void note(std::uint64_t hash);

    /** @return when it was served last, or nothing if that is not remembered. */
    std::optional<SteadyTime> last(std::uint64_t hash) const;

private:
    const Clock &clock;
    std::chrono::milliseconds span;
    std::size_t most;
    /** Of this span, and of the one before. */
    std::unordered_map<std::uint64_t, SteadyTime> current;
    std::unordered_map<std::uint64_t, SteadyTime> before;
    SteadyTime spanStart;
};

} // namespace Dogwoodkeel
