#pragma once

#include <LibHistory/History.h>

#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Which guarantee was violated. */
enum class ViolationKind {
    /** An answer that is not the complete answer to its own request. */
    WrongAnswer,
    /** Two different answers under one id. */
    TwoAnswers,
    /** A non-idempotent id ran more than once. */
    RanTwice,
    /** An id that never got an answer, or a job item without a result, although all faults had ended. */
    LostWork,
    /** A durable answer that could not be read later. */
    UnstableRead,
    /** Refused as not run, and no later call carried the id, but it ran. */
    FalseNotRun,
    /** A cancelled job that continued. */
    CancelIgnored,
};

/** @return the kind's name, for reports. */
const char *toString(ViolationKind kind);

/** A violated guarantee, and the id whose calls show it. */
struct Violation
{
    ViolationKind kind = ViolationKind::WrongAnswer;
    std::string id;
    std::string message;
};

/**
 * Checks a recorded history for violations of the guarantees. It is independent of the implementation: it compares the answers
 * that callers received with what the endpoints ran.
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
