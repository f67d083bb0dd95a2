#pragma once

#include <chrono>

namespace Dogwoodkeel
{

/** Decision on whether a request may run under the quota of its workspace. */
struct QuotaDecision
{
    enum class Kind {
        Granted,
        /** The quota of the workspace is used up. */
        OverLimit,
        /** No counter could be queried, and the share of this node is used up. */
        Unknown,
    };

    Kind kind = Kind::Granted;
    /** Unless granted: time after which the caller may retry. */
    std::chrono::milliseconds retryAfter{0};
};

} // namespace Dogwoodkeel
