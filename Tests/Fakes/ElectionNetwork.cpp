#include <Tests/Fakes/ElectionNetwork.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

constexpr const char *roleName = "llm";
constexpr std::chrono::milliseconds stepTime{10};
constexpr std::chrono::milliseconds latency{1};
/** How often a node checks whether a loss of the store has lasted long enough. */
constexpr std::chrono::milliseconds viewCheckInterval{250};
/** How often a node requests a slot from the coordinator, as in a fleet of some hundred nodes under some hundred requests a
 * second. */
constexpr std::chrono::milliseconds slotRequestInterval{350};
/** After what time a node treats a slot request as unanswered. */
constexpr std::chrono::milliseconds answerTimeout{60};
/** How often a node that knows no claim queries others for one, and how many it queries. */
constexpr std::chrono::milliseconds claimQueryInterval{100};
constexpr std::size_t queriesAtOnce = 3;
constexpr ElectionNetwork::Number largeEvery = 5;
constexpr std::uint32_t largeShare = 50;
constexpr std::uint32_t smallShare = 12;
constexpr std::size_t seedCount = 3;

Membership::Options gatewayOptions()
{
    Membership::Options options;
    options.sessionOrder = Membership::SessionOrder::Random;
    return options;
}

} // namespace

ElectionNetwork::ElectionNetwork(std::size_t count) : gossip(gatewayOptions())
{
    this->gossip.processorShareOf = [](Number number) {
        return number % largeEvery == 0 ? largeShare : smallShare;
    };
    for (Number number = 1; number <= count; ++number) {
        this->addNode(number, SessionNumber(++this->lastSession));
    }
}

void ElectionNetwork::addNode(Number number, SessionNumber session)
{
    std::vector<Number> contacts;
    for (Number seed = 1; seed <= seedCount; ++seed) {
        contacts.push_back(seed);
    }
    this->gossip.add(number, contacts, session);
    this->numbers[session] = number;
    Node node;
    node.reachability = std::make_unique<StoreReachability>(this->gossip.clock);
    node.election = std::make_unique<CoordinatorElection>(this->gossip.clock, roleName);
    node.nextSlotRequest = this->gossip.clock.now() + slotRequestInterval * static_cast<int>(number % 7) / 7;
    this->nodes[number] = std::move(node);
}

void ElectionNetwork::advance(std::chrono::milliseconds time)
{
    for (std::chrono::milliseconds passed{0}; passed < time; passed += stepTime) {
        this->step();
    }
}

void ElectionNetwork::step()
{
    this->gossip.clock.advance(stepTime);
    for (auto &[number, node] : this->nodes) {
        if (!this->paused.contains(number)) {
            this->updateNode(number, node);
        }
    }
    this->measure();
}

void ElectionNetwork::updateNode(Number number, Node &node)
{
    const SteadyTime now = this->gossip.clock.now();
    const MemberViewPointer view = this->gossip.member(number).view();
    const MemberViewPointer before = std::exchange(node.view, view);
    const bool isChanged = before != view;
    if (isChanged) {
        node.reachability->update(view);
    }
    if (isChanged || now >= node.nextViewCheck) {
        node.nextViewCheck = now + viewCheckInterval;
        node.election->setView(this->gossip.sessionOf(number), view, node.reachability->stableView());
    }
    if (isChanged && before) {
        this->sendClaimToNewMembers(number, node, *before);
    }
    if (node.election->isQuerying() && now >= node.nextClaimQuery) {
        node.nextClaimQuery = now + claimQueryInterval;
        this->queryClaims(number, node);
    }
    const Member *const suspected = node.election->suspectedCoordinator();
    const std::optional<Number> target = suspected != nullptr ? this->numberOf(suspected->session) : std::nullopt;
    if (target) {
        this->sendClaim(number, *target, node.election->claimQuery());
    }
    if (const std::optional<CoordinatorClaim> claim = node.election->makeClaim()) {
        this->broadcastClaim(number, *claim);
    }
    if (now >= node.nextSlotRequest) {
        node.nextSlotRequest = now + slotRequestInterval;
        this->requestSlot(number, node);
    }
}

void ElectionNetwork::requestSlot(Number number, Node &node)
{
    const Member *const coordinator = node.election->coordinator();
    const std::optional<Number> target = coordinator != nullptr ? this->numberOf(coordinator->session) : std::nullopt;
    const bool isCut = target && this->gossip.isCut && this->gossip.isCut(number, *target);
    if (coordinator != nullptr && (!target || this->paused.contains(*target) || isCut)) {
        this->reportSuspicion(number, node, *coordinator);
        return;
    }
    if (!target || *target == number) {
        return;
    }
    const Node &other = this->nodes.at(*target);
    const bool isRedirected
        = other.election->coordinator() != nullptr && other.election->coordinator()->session != coordinator->session;
    if (isRedirected && other.election->claim()) {
        this->sendClaim(*target, number, *other.election->claim());
    }
}

void ElectionNetwork::reportSuspicion(Number number, const Node &node, const Member &coordinator)
{
    const Member *const successor = node.election->successor();
    const std::optional<Number> to = successor != nullptr ? this->numberOf(successor->session) : std::nullopt;
    if (!to || (this->gossip.isCut && this->gossip.isCut(number, *to))) {
        return;
    }
    this->gossip.clock.schedule(
        answerTimeout,
        [this, to, suspicion = CoordinatorSuspicion{roleName, coordinator.session, this->gossip.sessionOf(number)}] {
            const auto found = this->nodes.find(*to);
            if (found != this->nodes.end() && !this->paused.contains(*to)) {
                found->second.election->receiveSuspicion(suspicion);
            }
        });
}

void ElectionNetwork::queryClaims(Number number, Node &node)
{
    const std::vector<Member> &members = node.view->members();
    std::uniform_int_distribution<std::size_t> choice(0, members.size() - 1);
    for (std::size_t sent = 0; sent < queriesAtOnce; ++sent) {
        this->sendClaim(number, GossipNetwork::numberOf(members[choice(this->random)].gossip), node.election->claimQuery());
    }
}

void ElectionNetwork::sendClaimToNewMembers(Number number, Node &node, const MemberView &before)
{
    const Member *const coordinator = node.election->coordinator();
    if (!node.election->claim() || coordinator == nullptr || coordinator->session != this->gossip.sessionOf(number)) {
        return;
    }
    for (const Member &member : node.view->members()) {
        if (before.find(member.session) == nullptr) {
            this->sendClaim(number, GossipNetwork::numberOf(member.gossip), *node.election->claim());
        }
    }
}

void ElectionNetwork::broadcastClaim(Number from, const CoordinatorClaim &claim)
{
    for (const Member &member : this->gossip.member(from).view()->members()) {
        this->sendClaim(from, GossipNetwork::numberOf(member.gossip), claim);
    }
}

void ElectionNetwork::sendClaim(Number from, Number to, const CoordinatorClaim &claim)
{
    const bool isLost = std::bernoulli_distribution(this->gossip.loss)(this->random);
    if (isLost || from == to || (this->gossip.isCut && this->gossip.isCut(from, to))) {
        return;
    }
    this->gossip.clock.schedule(latency, [this, from, to, claim] {
        const auto found = this->nodes.find(to);
        if (found == this->nodes.end() || this->paused.contains(to)) {
            return;
        }
        CoordinatorElection &election = *found->second.election;
        if (election.coordinator() != nullptr && this->numberOf(election.coordinator()->session) == from) {
            election.recordCoordinatorAlive();
        }
        if (election.receive(claim) == CoordinatorElection::ReceiveOutcome::Outdated) {
            this->sendClaim(to, from, *election.claim());
        }
    });
}

void ElectionNetwork::setStoreLost(Number number, bool isLost)
{
    this->gossip.member(number).update([isLost](Member &member) {
        member.hasLostStore = isLost;
    });
}

void ElectionNetwork::leave(Number number)
{
    this->gossip.member(number).update([](Member &member) {
        member.isReady = false;
        member.isLeaving = true;
    });
}

void ElectionNetwork::restart(Number number)
{
    this->gossip.kill(number);
    this->addNode(number, SessionNumber(++this->lastSession));
}

void ElectionNetwork::kill(Number number)
{
    this->gossip.kill(number);
    this->nodes.erase(number);
}

void ElectionNetwork::pause(Number number)
{
    this->gossip.pause(number);
    this->paused.insert(number);
}

void ElectionNetwork::resume(Number number)
{
    this->paused.erase(number);
    this->gossip.resume(number);
}

void ElectionNetwork::claimRole(Number number)
{
    const std::optional<CoordinatorClaim> &known = this->nodes.at(number).election->claim();
    const CoordinatorClaim claim{roleName, known ? known->term + 1 : 1, this->gossip.sessionOf(number)};
    this->nodes.at(number).election->receive(claim);
    this->broadcastClaim(number, claim);
}

ElectionNetwork::Number ElectionNetwork::coordinator()
{
    return this->majorityCoordinator ? this->numberOf(*this->majorityCoordinator).value_or(0) : 0;
}

void ElectionNetwork::resetMeasurements()
{
    this->longestDivergence.clear();
    this->changeCount = 0;
}

std::size_t ElectionNetwork::countDivergent(std::chrono::milliseconds longerThan) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->longestDivergence, [longerThan](const auto &entry) {
        return entry.second > longerThan;
    }));
}

std::size_t ElectionNetwork::changes() const
{
    return this->changeCount;
}

std::optional<ElectionNetwork::Number> ElectionNetwork::numberOf(SessionNumber session) const
{
    const auto found = this->numbers.find(session);
    const bool isRunning = found != this->numbers.end() && this->nodes.contains(found->second);
    return isRunning ? std::optional(found->second) : std::nullopt;
}

void ElectionNetwork::measure()
{
    std::map<Number, std::optional<SessionNumber>> reported;
    std::map<std::optional<SessionNumber>, std::size_t> votes;
    for (const auto &[number, node] : this->nodes) {
        if (!this->paused.contains(number)) {
            const Member *const coordinator = node.election->coordinator();
            reported[number] = coordinator != nullptr ? std::optional(coordinator->session) : std::nullopt;
            ++votes[reported[number]];
        }
    }
    const auto majority = std::ranges::max_element(votes, {}, [](const auto &vote) {
        return vote.second;
    });
    if (std::exchange(this->majorityCoordinator, majority->first) != majority->first) {
        ++this->changeCount;
    }
    const SteadyTime now = this->gossip.clock.now();
    for (const auto &[number, session] : reported) {
        std::optional<SteadyTime> &divergentSince = this->nodes[number].divergentSince;
        if (session == this->majorityCoordinator) {
            divergentSince.reset();
            continue;
        }
        divergentSince = divergentSince.value_or(now);
        std::chrono::milliseconds &longestDivergence = this->longestDivergence[number];
        longestDivergence
            = std::max(longestDivergence, std::chrono::duration_cast<std::chrono::milliseconds>(now - *divergentSince));
    }
}

} // namespace Dogwoodkeel
