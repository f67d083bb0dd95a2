#pragma once

#include <LibHistory/History.h>

#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Which promise was broken. */
enum class ViolationKind {
    /** An answer that is not the whole answer to its own request. */
    WrongAnswer,
    /** Two answers under one id. */
    TwoAnswers,
    /** A non-idempotent id ran more than once. */
    RanTwice,
    /** An id that never got an answer, or a job item without a result, although all faults were over. */
    LostWork,
    /** A durable answer that could not be read later. */
    UnstableRead,
    /** Refused as not run, and no later call carried the id, but it ran. */
    FalseNotRun,
    /** A cancelled job that went on. */
    CancelIgnored,
};

/** @return the kind's name, for reports. */
const char *toString(ViolationKind kind);

/** A broken promise, and the id whose calls show it. */
struct Violation
{
    ViolationKind kind = ViolationKind::WrongAnswer;
    std::string id;
    std::string message;
};

/**
 * Checks a recorded history against what must always hold. It knows nothing of how the system works: it compares what
 * callers were told with what the endpoints did.
 */
class HistoryChecker
{
public:
    explicit HistoryChecker(const History &history);

    /** @return every violation, in the order of the ids. */
    std::vector<Violation> check();

private:
    using Calls = std::vector<const HistoryCall *>;

    void checkAnswers(const std::string &id, const Calls &calls);
    void checkStability(const std::string &id, const Calls &calls);
    void checkRuns(const std::string &id, const Calls &calls);
    void checkCompletion(const std::string &id, const Calls &calls);
    void checkJob(const std::string &id, const Calls &calls);
    void add(ViolationKind kind, const std::string &id, std::string message);

    const History &history;
    std::vector<Violation> violations;
};

} // namespace Dogwoodkeel
