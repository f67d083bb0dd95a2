#pragma once

#include <cstdint>

namespace Dogwoodkeel
{

/** What became of a write to the platform. Everything that writes has a right answer to each of the four. */
enum class WriteOutcome {
    /** It took effect. */
    Done,
    /** A condition failed: it took no effect. */
    Refused,
    /** Proved that it took no effect, for another reason: the platform was not reached, or turned it away. */
    NotApplied,
    /** The answer was lost: it may have taken effect, or may yet. */
    Unknown,
};

/** What became of a read from the platform. */
enum class ReadOutcome {
    Found,
    /** Proved absent. */
    Absent,
    /** No answer. */
    Failed,
};

/** Counts the changes of a row; the platform gives it out. */
using RowVersion = std::uint64_t;

} // namespace Dogwoodkeel
