#include <Services/Gateway/CrashExchange.h>

#include <LibWire/Codec.h>

namespace Dogwoodkeel
{

namespace
{

/** A member that has just come back asks several others before it counts on the platform as one that has been there. */
constexpr std::chrono::milliseconds questionInterval{1000};
/** What one datagram carries whole. */
constexpr std::size_t mostCounts = 40;

} // namespace

CrashExchange::CrashExchange(const Clock &clock, PeerNetwork &peers, CrashMemory &crashes, std::uint64_t seed)
    : clock(clock), peers(peers), crashes(crashes), random(static_cast<std::minstd_rand::result_type>(seed))
{
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
    if (datagram.number == CrashQuestion::number) {
        this->answer(datagram.from);
        return true;
    }
    if (datagram.number != CrashCounts::number) {
        return false;
    }
    if (const auto reported = decode<CrashCounts>(datagram.payload)) {
        for (const CrashCount &count : reported->counts) {
            this->crashes.merge({count.fingerprint, static_cast<int>(count.crashes), count.age});
        }
    }
    return true;
}

void CrashExchange::answer(const Address &asker) const
{
    CrashCounts answer;
    for (const CrashMemory::Known &known : this->crashes.known(mostCounts)) {
        answer.counts.push_back({known.fingerprint, static_cast<std::uint32_t>(known.crashes), known.age});
    }
    if (!answer.counts.empty()) {
        this->peers.datagrams().send(asker, answer);
    }
}

} // namespace Dogwoodkeel
