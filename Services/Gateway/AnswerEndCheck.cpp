#include <Services/Gateway/AnswerEndCheck.h>

#include <LibBase/Log.h>

#include <chrono>
#include <string>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** The kernel closes the sockets of an ended process one after the other, its listening socket possibly last. */
constexpr std::chrono::milliseconds closeDelay{20};
/** A replica that still runs answers within a round trip. */
constexpr std::chrono::milliseconds probeTimeout{300};
/** After a pause, all that arrived meanwhile is read within this time. */
constexpr std::chrono::milliseconds catchUpTime{100};

std::string_view nameOf(ConnectOutcome outcome)
{
    switch (outcome) {
    case ConnectOutcome::Connected:
        return "connected";
    case ConnectOutcome::Refused:
        return "refused";
    case ConnectOutcome::Unanswered:
        return "unanswered";
    }
    return "invalid";
}

} // namespace

AnswerEndCheck::AnswerEndCheck(EventLoop &loop, const Clock &clock, ConnectProbe &probe, GatewayMetrics &metrics)
    : loop(loop), clock(clock), probe(probe), metrics(metrics)
{
}

AnswerEndCheck::~AnswerEndCheck()
{
    *this->alive = false;
}

void AnswerEndCheck::start(const EndpointName &replica, const Address &address, Done done)
{
    const auto [check, isFirst] = this->pending.try_emplace(address, Check{replica, this->clock.now(), {}});
    check->second.waiting.push_back(std::move(done));
    if (isFirst) {
        this->loop.schedule(closeDelay, [this, address, alive = this->alive] {
            if (*alive) {
                this->probeReplica(address);
            }
        });
    }
}

void AnswerEndCheck::recordPause()
{
    this->lastPause = this->clock.now();
}

bool AnswerEndCheck::hasPausedBefore(const Check &check) const
{
    return this->lastPause && *this->lastPause + catchUpTime >= check.ended;
}

void AnswerEndCheck::probeReplica(const Address &address)
{
    Check check = std::move(this->pending.extract(address).mapped());
    if (this->hasPausedBefore(check)) {
        this->finish(check, "not possible after a pause", false);
        return;
    }
    this->probe.start(address, probeTimeout, [this, alive = this->alive, check = std::move(check)](ConnectOutcome outcome) {
        if (*alive) {
            this->finish(check, nameOf(outcome), outcome == ConnectOutcome::Connected);
        }
    });
}

void AnswerEndCheck::finish(const Check &check, std::string_view outcome, bool isProven)
{
    log(isProven ? LogLevel::Debug : LogLevel::Info,
        "end of answers without a length checked",
        {{"replica", check.replica.value()},
         {"answers", static_cast<std::int64_t>(check.waiting.size())},
         {"probe", std::string(outcome)}});
    if (!isProven) {
        this->metrics.countEvent("end of an answer without a length not proven");
    }
    for (const Done &done : check.waiting) {
        done(isProven);
    }
}

} // namespace Dogwoodkeel
