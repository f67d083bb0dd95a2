#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibWorkspace/LocalQuota.h>
#include <LibWorkspace/QuotaBounds.h>
#include <LibWorkspace/QuotaDecision.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace Dogwoodkeel
{

/** The workspaces are spread over so many counters by their names, each of them a duty of its own. */
inline constexpr std::size_t quotaParts = 4;

/** @return which of the counters counts a workspace. */
std::size_t quotaPartOf(const WorkspaceName &workspace);

/** What a counter is asked. */
struct QuotaQuestion
{
    std::uint64_t ticket = 0;
    WorkspaceName workspace;
    RequestQuota quota;
    /** Of the configuration that the quota stands in. */
    std::uint64_t version = 0;
};

/**
 * Gets the requests of this node counted. It asks the counter of a workspace; without an answer the node that would take that
 * duty over; and if that does not answer either, it decides by its own part, see LoneQuota. A counter that is lost delays a
 * request by some tens of milliseconds, and only the first ones.
 */
class QuotaAsker
{
public:
    using Ticket = std::uint64_t;
    using Decided = std::function<void(const QuotaDecision &)>;

    /** Whom to ask. */
    enum class Counter {
        Holder,
        Successor,
    };

    struct Hooks
    {
        /** Ask; the answer comes back by take(), maybe at once. @return whether there is such a node */
        std::function<bool(const QuotaQuestion &, Counter)> ask;
        /** The holder of a part did not answer. */
        std::function<void(std::size_t part)> suspectHolder;
    };

    QuotaAsker(const Clock &clock, const QuotaBounds &bounds, Hooks hooks);

    /** See LoneQuota::setNodes(). */
    void setNodes(std::size_t place, std::size_t count);

    /**
     * Ask whether a request may run.
     * @param decided told once, maybe from inside this call
     * @return names the question until then
     */
    Ticket ask(const WorkspaceName &workspace, const RequestQuota &quota, std::uint64_t version, Decided decided);

    /** The answer is not wanted any more. */
    void cancel(Ticket ticket);

    /** A counter has answered. */
    void take(Ticket ticket, const QuotaDecision &decision);

    /** Another node has the duty of a counter now: what is suspected of the one before does not count. */
    void noteHolderChanged(std::size_t part);

    /** Look after what time brings. */
    void tick();

    /** @return requests that were decided without a counter. */
    std::uint64_t decidedAlone() const;

    /** @return whether a counter of the part has answered lately. */
    bool isInTouch(std::size_t part) const;

private:
    struct Asked
    {
        QuotaQuestion question;
        Decided decided;
        Counter counter = Counter::Holder;
        SteadyTime begun{};
        /** Whether there was nobody to ask. */
        bool isStranded = false;
        /** When that counter was first asked, and last. */
        SteadyTime first{};
        SteadyTime last{};
    };

    /** What is known of the counters of a part. */
    struct Part
    {
        /** Until then the holder, or its successor as well, is not waited for. */
        SteadyTime holderSuspectedUntil{};
        SteadyTime successorSuspectedUntil{};
        SteadyTime answered{};
    };

    void askCounter(Ticket ticket, Counter counter);
    void askNext(Ticket ticket);
    void tickOne(Ticket ticket);
    void suspectCounter(const Asked &asked);
    void decideAlone(Ticket ticket);
    void decide(Ticket ticket, const QuotaDecision &decision);

    const Clock &clock;
    Hooks hooks;
    LoneQuota own;
    std::array<Part, quotaParts> parts;
    std::map<Ticket, Asked> open;
    Ticket lastTicket = 0;
    std::uint64_t aloneCount = 0;
};

} // namespace Dogwoodkeel
