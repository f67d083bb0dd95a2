#include <LibHistory/HistoryChecker.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

bool isAnswer(const HistoryCall &call)
{
    return call.outcome == CallOutcome::Answered || call.outcome == CallOutcome::Pending;
}

bool isOfJob(const HistoryCall &call)
{
    return call.kind == CallKind::JobSubmission || call.kind == CallKind::JobCancellation;
}

} // namespace

const char *toString(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::WrongAnswer:
        return "wrong_answer";
    case ViolationKind::TwoAnswers:
        return "two_answers";
    case ViolationKind::RanTwice:
        return "ran_twice";
    case ViolationKind::LostWork:
        return "lost_work";
    case ViolationKind::UnstableRead:
        return "unstable_read";
    case ViolationKind::FalseNotRun:
        return "false_not_run";
    case ViolationKind::CancelIgnored:
        return "cancel_ignored";
    }
    return "unknown";
}

HistoryChecker::HistoryChecker(const History &history) : history(history)
{
}

std::vector<Violation> HistoryChecker::check()
{
    this->violations.clear();
    std::map<std::string, Calls> byId;
    for (const HistoryCall &call : this->history.calls) {
        byId[call.id].push_back(&call);
    }
    for (auto &[id, calls] : byId) {
        std::ranges::sort(calls, {}, &HistoryCall::invoked);
        if (isOfJob(*calls.front())) {
            this->checkJob(id, calls);
            continue;
        }
        this->checkAnswers(id, calls);
        this->checkStability(id, calls);
        this->checkRuns(id, calls);
        this->checkCompletion(id, calls);
    }
    return this->violations;
}

void HistoryChecker::checkAnswers(const std::string &id, const Calls &calls)
{
    const auto expected = this->history.expected.find(id);
    const HistoryCall *first = nullptr;
    for (const HistoryCall *const call : calls) {
        if (!isAnswer(*call)) {
            continue;
        }
        if (expected != this->history.expected.end() && call->text != expected->second) {
            this->add(ViolationKind::WrongAnswer, id, "got \"" + call->text + "\", expected \"" + expected->second + '"');
            return;
        }
        if (first != nullptr && first->text != call->text) {
            this->add(ViolationKind::TwoAnswers, id, "got \"" + first->text + "\" and \"" + call->text + '"');
            return;
        }
        first = call;
    }
}

void HistoryChecker::checkStability(const std::string &id, const Calls &calls)
{
    std::chrono::microseconds durableSince = std::chrono::microseconds::max();
    for (const HistoryCall *const call : calls) {
        if (call->outcome == CallOutcome::Answered) {
            durableSince = std::min(durableSince, call->ended);
        }
    }
    for (const HistoryCall *const call : calls) {
        const bool deniesAnswer = call->outcome == CallOutcome::Absent || call->outcome == CallOutcome::OutcomeUnknown;
        if (call->invoked > durableSince && deniesAnswer) {
            this->add(ViolationKind::UnstableRead, id, "a durable answer was denied later");
            return;
        }
    }
}

void HistoryChecker::checkRuns(const std::string &id, const Calls &calls)
{
    const auto found = this->history.runs.find(id);
    const std::uint64_t runs = found != this->history.runs.end() ? found->second : 0;
    if (calls.front()->kind != CallKind::NonIdempotent) {
        return;
    }
    if (runs > 1) {
        this->add(ViolationKind::RanTwice, id, "it ran " + std::to_string(runs) + " times");
    }
    const HistoryCall *last = nullptr;
    for (const HistoryCall *const call : calls) {
        last = call->kind == CallKind::NonIdempotent ? call : last;
    }
    if (runs > 0 && last->outcome == CallOutcome::NotRun) {
        this->add(ViolationKind::FalseNotRun, id, "its last call was refused as not run, but it ran");
    }
}

void HistoryChecker::checkCompletion(const std::string &id, const Calls &calls)
{
    const auto isFinal = [](const HistoryCall *call) {
        // An id that its caller abandoned after "not run" is also final: no answer is due.
        return call->outcome == CallOutcome::Answered || call->outcome == CallOutcome::OutcomeUnknown
            || call->outcome == CallOutcome::NotRun;
    };
    if (std::ranges::none_of(calls, isFinal)) {
        this->add(ViolationKind::LostWork, id, "it never got a final answer");
    }
}

void HistoryChecker::checkJob(const std::string &id, const Calls &calls)
{
    const auto wasAnswered = [&calls](CallKind kind) {
        return std::ranges::any_of(calls, [kind](const HistoryCall *call) {
            return call->kind == kind && call->outcome == CallOutcome::Answered;
        });
    };
    const auto found = this->history.jobs.find(id);
    if (!wasAnswered(CallKind::JobSubmission) || found == this->history.jobs.end()) {
        return;
    }
    const FinalJobState &job = found->second;
    const bool wasCancelRequested = std::ranges::any_of(calls, [](const HistoryCall *call) {
        return call->kind == CallKind::JobCancellation;
    });
    if (wasAnswered(CallKind::JobCancellation) && job.doneLater != job.doneFirst) {
        this->add(ViolationKind::CancelIgnored, id, "items went on completing after the cancellation");
    }
    for (const auto &reading : job.readings) {
        if (!wasCancelRequested && reading.size() != job.expected.size()) {
            const std::string count = std::to_string(reading.size()) + " of " + std::to_string(job.expected.size());
            this->add(ViolationKind::LostWork, id, count + " items have a result");
            return;
        }
        for (const auto &[index, text] : reading) {
            if (index >= job.expected.size() || text != job.expected[index]) {
                this->add(ViolationKind::WrongAnswer, id, "item " + std::to_string(index) + " has \"" + text + '"');
                return;
            }
        }
    }
}

void HistoryChecker::add(ViolationKind kind, const std::string &id, std::string message)
{
    this->violations.push_back({kind, id, std::move(message)});
}

} // namespace Dogwoodkeel
