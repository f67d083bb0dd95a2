#include <Services/Gateway/CrashExchange.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <string>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A member that has just come back asks several others before it counts on the platform as one that has been there. */
constexpr std::chrono::milliseconds questionInterval{1000};
/** A replica that is there answers within a round trip. */
constexpr std::chrono::milliseconds probeTimeout{300};
/** What one datagram carries whole. */
constexpr std::size_t mostCounts = 30;
constexpr std::size_t mostReplicas = 60;
constexpr std::size_t mostBlocked = 20;

std::string joined(const std::vector<std::string> &texts)
{
    std::string all;
    for (const std::string &text : texts) {
        all.append(all.empty() ? "" : ",").append(text);
    }
    return all;
}

} // namespace

CrashExchange::CrashExchange(const Clock &clock,
                             PeerNetwork &peers,
                             GatewayMetrics &metrics,
                             CrashMemory &crashes,
                             PromptPartGuard &parts,
                             WaitingRequests &waiting,
                             ConnectProbe &probe,
                             std::uint64_t seed)
    : clock(clock)
    , peers(peers)
    , metrics(metrics)
    , crashes(crashes)
    , parts(parts)
    , waiting(waiting)
    , probe(probe)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void CrashExchange::classifyDisconnects()
{
    for (const JudgedBreak &judged : this->crashes.judgeBreaks()) {
        const BrokenRun &run = judged.run;
        log(LogLevel::Info,
            judged.isCrash ? "a request met the crash of a replica" : "connections to several replicas broke at once",
            {{"fingerprint", std::to_string(run.fingerprint)},
             {"replica", run.replica.value()},
             {"prompt_parts", joined(run.promptParts)},
             {"events", static_cast<std::int64_t>(run.events)},
             {"crashes", static_cast<std::int64_t>(this->crashes.crashesOf(run.fingerprint))},
             {"other_replica", judged.otherReplica.value()},
             {"apart_ms", static_cast<std::int64_t>(judged.apart.count())}});
        if (judged.isCrash) {
            this->metrics.countEvent("request met a crash");
            this->takeCrash(run);
        } else {
            this->askReplica(run);
        }
    }
    this->waiting.recheckAll();
}

void CrashExchange::askReplica(const BrokenRun &run)
{
    std::vector<BrokenRun> &runs = this->doubtful[run.replica];
    runs.push_back(run);
    if (runs.size() == 1) {
        this->probe.start(run.address, probeTimeout, [this, replica = run.replica](ConnectOutcome outcome) {
            this->takeOutcome(replica, outcome);
        });
    }
}

void CrashExchange::takeOutcome(const EndpointName &replica, ConnectOutcome outcome)
{
    const std::vector<BrokenRun> runs = std::move(this->doubtful.extract(replica).mapped());
    const bool isGone = outcome == ConnectOutcome::Refused;
    log(LogLevel::Info,
        isGone ? "a replica crashed as others did" : "a replica outlived its connections",
        {{"replica", replica.value()},
         {"requests", static_cast<std::int64_t>(runs.size())},
         {"is_answering", outcome == ConnectOutcome::Connected}});
    for (const BrokenRun &run : runs) {
        this->metrics.countEvent(isGone ? "request met a crash" : "request met a broken connection");
        if (isGone) {
            this->crashes.noteCrash(run.fingerprint, run.replica);
            this->takeCrash(run);
        }
    }
    this->waiting.recheckAll();
}

void CrashExchange::takeNotice(const CrashNotice &notice)
{
    this->crashes.noteCrash(notice.fingerprint, notice.replica);
    const int known = this->crashes.crashesOf(notice.fingerprint);
    // Most requests meet one crash by chance.
    if (known > 1) {
        log(LogLevel::Info,
            "another node reported the crash of a replica",
            {{"fingerprint", std::to_string(notice.fingerprint)},
             {"replica", notice.replica.value()},
             {"crashes", static_cast<std::int64_t>(known)}});
    }
    this->noteCrash(notice);
    this->waiting.recheckAll();
}

void CrashExchange::takeCrash(const BrokenRun &run)
{
    CrashNotice notice{run.fingerprint, run.replica, {}};
    if (run.events < eventsOfServedPrompt) {
        notice.promptParts = promptParts(run.service, run.promptParts);
        this->noteCrash(notice);
    }
    this->peers.broadcast(notice);
}

void CrashExchange::noteCrash(const CrashNotice &notice)
{
    const std::size_t before = this->parts.blocked(mostBlocked).size();
    this->parts.noteCrash(notice.replica, notice.promptParts);
    const std::vector<PromptPartGuard::Blocked> blocked = this->parts.blocked(mostBlocked);
    if (blocked.size() > before) {
        log(LogLevel::Warning,
            "parts of prompts blocked",
            {{"last_replica", notice.replica.value()}, {"blocked", static_cast<std::int64_t>(blocked.size())}});
    }
}

void CrashExchange::recordPromptServed(const std::vector<PromptPart> &served)
{
    const std::vector<PromptPart> suspected = this->parts.noteServed(served);
    if (!suspected.empty()) {
        this->peers.broadcast(PromptPartsServed{suspected});
    }
}

void CrashExchange::recordRequestServed(std::uint64_t fingerprint)
{
    if (this->crashes.noteServed(fingerprint)) {
        this->peers.broadcast(RequestServed{fingerprint});
    }
}

void CrashExchange::tick()
{
    const SteadyTime now = this->clock.now();
    if (now < this->nextQuestion) {
        return;
    }
    const MemberViewPointer view = this->peers.view();
    const Member *const member = randomMember(*view, this->random, [this](const Member &candidate) {
        return candidate.session != this->peers.self() && !candidate.isLeaving;
    });
    if (member != nullptr) {
        this->nextQuestion = now + questionInterval;
        this->peers.datagrams().send(member->gossip, CrashQuestion{this->peers.self()});
    }
}

bool CrashExchange::receive(const Datagram &datagram)
{
    if (datagram.number == CrashNotice::number) {
        if (const auto notice = decode<CrashNotice>(datagram.payload)) {
            this->takeNotice(*notice);
        }
    } else if (datagram.number == PromptPartsServed::number) {
        if (const auto served = decode<PromptPartsServed>(datagram.payload)) {
            this->parts.noteServed(served->promptParts);
        }
    } else if (datagram.number == RequestServed::number) {
        if (const auto served = decode<RequestServed>(datagram.payload)) {
            this->crashes.noteServed(served->fingerprint);
        }
    } else if (datagram.number == CrashQuestion::number) {
        this->answer(datagram.from);
    } else if (datagram.number == CrashCounts::number) {
        if (const auto reported = decode<CrashCounts>(datagram.payload)) {
            this->merge(*reported);
        }
    } else {
        return false;
    }
    return true;
}

void CrashExchange::merge(const CrashCounts &reported)
{
    for (const CrashCount &count : reported.counts) {
        this->crashes.merge({count.fingerprint, count.replicas, count.age});
    }
    for (const BlockedPromptPart &blocked : reported.blocked) {
        this->parts.merge({blocked.promptPart, blocked.age, blocked.times});
    }
    this->waiting.recheckAll();
}

void CrashExchange::answer(const Address &asker) const
{
    CrashCounts answer;
    std::size_t replicas = 0;
    for (const CrashMemory::Known &known : this->crashes.known(mostCounts)) {
        replicas += known.replicas.size();
        if (replicas > mostReplicas) {
            break;
        }
        answer.counts.push_back({known.fingerprint, known.replicas, known.age});
    }
    for (const PromptPartGuard::Blocked &blocked : this->parts.blocked(mostBlocked)) {
        answer.blocked.push_back({blocked.part, blocked.age, blocked.times});
    }
    if (!answer.counts.empty() || !answer.blocked.empty()) {
        this->peers.datagrams().send(asker, answer);
    }
}

} // namespace Dogwoodkeel
