#pragma once

#include <chrono>

namespace Dogwoodkeel
{

/** Whether a request may run by the quota of its workspace. */
struct QuotaDecision
{
    enum class Kind {
        Granted,
        /** The workspace has used up what it may. */
        OverLimit,
        /** No counter could be asked, and this node's own part is used up. */
        Unknown,
    };

    Kind kind = Kind::Granted;
    /** Unless granted: after which the request may come again. */
    std::chrono::milliseconds retryAfter{0};
};

} // namespace Dogwoodkeel
