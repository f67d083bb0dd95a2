#pragma once

#include <cstdint>

namespace Dogwoodkeel
{

/** Outcome of a write to the platform. Every writer must handle all four. */
enum class WriteOutcome {
    /** It took effect. */
    Done,
    /** A condition failed; the write took no effect. */
    Refused,
    /** The write certainly took no effect, for another reason: the platform was unreachable or rejected it. */
    NotApplied,
    /** The answer was lost: the write may have taken effect, or may still do so. */
    Unknown,
};

/** Outcome of a read from the platform. */
enum class ReadOutcome {
    Found,
    /** The row or object certainly does not exist. */
    Absent,
    /** No answer. */
    Failed,
};

/** Version of a row, assigned by the platform; grows with each change. */
using RowVersion = std::uint64_t;

} // namespace Dogwoodkeel
