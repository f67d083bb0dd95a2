#include <Services/Gateway/CrashExchange.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <string>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Short enough that a member that has just returned queries several others before the platform counts it as present. */
constexpr std::chrono::milliseconds queryInterval{1000};
/** A replica that still runs answers within a round trip. */
constexpr std::chrono::milliseconds probeTimeout{300};
/** Bounds for an answer that fits into one datagram. */
constexpr std::size_t maxCounts = 30;
constexpr std::size_t maxReplicas = 60;
constexpr std::size_t maxBlocked = 20;

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
                             CrashHistory &crashes,
                             PromptPartBlocklist &blocklist,
                             WaitingRequests &waiting,
                             ConnectProbe &probe,
                             std::uint64_t seed)
    : clock(clock)
    , peers(peers)
    , metrics(metrics)
    , crashes(crashes)
    , blocklist(blocklist)
    , waiting(waiting)
    , probe(probe)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void CrashExchange::classifyDisconnects()
{
    for (const ClassifiedDisconnect &classified : this->crashes.classifyDisconnects()) {
        const InterruptedRun &run = classified.run;
        log(LogLevel::Info,
            classified.isCrash ? "a request met the crash of a replica" : "connections to several replicas broke at once",
            {{"fingerprint", std::to_string(run.fingerprint)},
             {"replica", run.replica.value()},
             {"prompt_parts", joined(run.promptParts)},
             {"events", static_cast<std::int64_t>(run.events)},
             {"crashes", static_cast<std::int64_t>(this->crashes.crashCount(run.fingerprint))},
             {"other_replica", classified.otherReplica.value()},
             {"apart_ms", static_cast<std::int64_t>(classified.timeDifference.count())}});
        if (classified.isCrash) {
            this->metrics.countEvent("request met a crash");
            this->publishCrash(run);
        } else {
            this->probeReplica(run);
        }
    }
    this->waiting.recheckAll();
}

void CrashExchange::probeReplica(const InterruptedRun &run)
{
    std::vector<InterruptedRun> &runs = this->uncertainRuns[run.replica];
    runs.push_back(run);
    if (runs.size() == 1) {
        this->probe.start(run.address, probeTimeout, [this, replica = run.replica](ConnectOutcome outcome) {
            this->handleProbeOutcome(replica, outcome);
        });
    }
}

void CrashExchange::handleProbeOutcome(const EndpointName &replica, ConnectOutcome outcome)
{
    const std::vector<InterruptedRun> runs = std::move(this->uncertainRuns.extract(replica).mapped());
    const bool hasCrashed = outcome == ConnectOutcome::Refused;
    log(LogLevel::Info,
        hasCrashed ? "a replica crashed as others did" : "a replica outlived its connections",
        {{"replica", replica.value()},
         {"requests", static_cast<std::int64_t>(runs.size())},
         {"is_answering", outcome == ConnectOutcome::Connected}});
    for (const InterruptedRun &run : runs) {
        this->metrics.countEvent(hasCrashed ? "request met a crash" : "request met a broken connection");
        if (hasCrashed) {
            this->crashes.recordCrash(run.fingerprint, run.replica);
            this->publishCrash(run);
        }
    }
    this->waiting.recheckAll();
}

void CrashExchange::handleNotice(const CrashNotice &notice)
{
    this->crashes.recordCrash(notice.fingerprint, notice.replica);
    const int known = this->crashes.crashCount(notice.fingerprint);
    // A request meets a single crash mostly by chance.
    if (known > 1) {
        log(LogLevel::Info,
            "another node reported the crash of a replica",
            {{"fingerprint", std::to_string(notice.fingerprint)},
             {"replica", notice.replica.value()},
             {"crashes", static_cast<std::int64_t>(known)}});
    }
    this->recordPartCrash(notice);
    this->waiting.recheckAll();
}

void CrashExchange::publishCrash(const InterruptedRun &run)
{
    CrashNotice notice{run.fingerprint, run.replica, {}};
    if (run.events < minEventsOfServedPrompt) {
        notice.promptParts = promptParts(run.service, run.promptParts);
        this->recordPartCrash(notice);
    }
    this->peers.broadcast(notice);
}

void CrashExchange::recordPartCrash(const CrashNotice &notice)
{
    const std::size_t before = this->blocklist.blockedParts(maxBlocked).size();
    this->blocklist.recordCrash(notice.replica, notice.promptParts);
    const std::vector<PromptPartBlocklist::BlockedPart> blocked = this->blocklist.blockedParts(maxBlocked);
    if (blocked.size() > before) {
        log(LogLevel::Warning,
            "parts of prompts blocked",
            {{"last_replica", notice.replica.value()}, {"blocked", static_cast<std::int64_t>(blocked.size())}});
    }
}

void CrashExchange::recordPromptServed(const std::vector<PromptPart> &served)
{
    const std::vector<PromptPart> suspected = this->blocklist.recordServed(served);
    if (!suspected.empty()) {
        this->peers.broadcast(PromptPartsServed{suspected});
    }
}

void CrashExchange::recordRequestServed(std::uint64_t fingerprint)
{
    if (this->crashes.recordServed(fingerprint)) {
        this->peers.broadcast(RequestServed{fingerprint});
    }
}

void CrashExchange::tick()
{
    const SteadyTime now = this->clock.now();
    if (now < this->nextQuery) {
        return;
    }
    const MemberViewPointer view = this->peers.view();
    const Member *const member = randomMember(*view, this->random, [this](const Member &candidate) {
        return candidate.session != this->peers.self() && !candidate.isLeaving;
    });
    if (member != nullptr) {
        this->nextQuery = now + queryInterval;
        this->peers.datagrams().send(member->gossip, CrashQuery{this->peers.self()});
    }
}

bool CrashExchange::receive(const Datagram &datagram)
{
    if (datagram.number == CrashNotice::number) {
        if (const auto notice = decode<CrashNotice>(datagram.payload)) {
            this->handleNotice(*notice);
        }
    } else if (datagram.number == PromptPartsServed::number) {
        if (const auto served = decode<PromptPartsServed>(datagram.payload)) {
            this->blocklist.recordServed(served->promptParts);
        }
    } else if (datagram.number == RequestServed::number) {
        if (const auto served = decode<RequestServed>(datagram.payload)) {
            this->crashes.recordServed(served->fingerprint);
        }
    } else if (datagram.number == CrashQuery::number) {
        this->answerQuery(datagram.from);
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
        this->blocklist.merge({blocked.promptPart, blocked.age, blocked.blockCount});
    }
    this->waiting.recheckAll();
}

void CrashExchange::answerQuery(const Address &recipient) const
{
    CrashCounts answer;
    std::size_t replicas = 0;
    for (const CrashHistory::RequestCrashes &known : this->crashes.requestCrashes(maxCounts)) {
        replicas += known.replicas.size();
        if (replicas > maxReplicas) {
            break;
        }
        answer.counts.push_back({known.fingerprint, known.replicas, known.age});
    }
    for (const PromptPartBlocklist::BlockedPart &blocked : this->blocklist.blockedParts(maxBlocked)) {
        answer.blocked.push_back({blocked.part, blocked.age, blocked.times});
    }
    if (!answer.counts.empty() || !answer.blocked.empty()) {
        this->peers.datagrams().send(recipient, answer);
    }
}

} // namespace Dogwoodkeel
