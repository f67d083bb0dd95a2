#include <Tests/Fakes/ElectionNetwork.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

constexpr const char *dutyName = "llm";
constexpr std::chrono::milliseconds stepTime{10};
constexpr std::chrono::milliseconds latency{1};
/** How often a node looks whether a loss of the store has stood for long enough. */
constexpr std::chrono::milliseconds reachLook{250};
/** How often a node asks the holder for a place, as in a fleet of some hundred nodes under some hundred requests a second. */
constexpr std::chrono::milliseconds askInterval{350};
/** When a node takes an ask for unanswered. */
constexpr std::chrono::milliseconds answerTimeout{60};
/** How often a node that knows no claim asks for one, and how many others. */
constexpr std::chrono::milliseconds questionInterval{100};
constexpr std::size_t questionsAtOnce = 3;
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
    node.reach = std::make_unique<StoreReachability>(this->gossip.clock);
    node.duty = std::make_unique<CoordinatorElection>(this->gossip.clock, dutyName);
    node.nextAsk = this->gossip.clock.now() + askInterval * static_cast<int>(number % 7) / 7;
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
            this->look(number, node);
        }
    }
    this->measure();
}

void ElectionNetwork::look(Number number, Node &node)
{
    const SteadyTime now = this->gossip.clock.now();
    const MemberViewPointer view = this->gossip.member(number).view();
    const MemberViewPointer before = std::exchange(node.view, view);
    const bool isChanged = before != view;
    if (isChanged) {
        node.reach->update(view);
    }
    if (isChanged || now >= node.nextLook) {
        node.nextLook = now + reachLook;
        node.duty->setView(this->gossip.sessionOf(number), view, node.reach->stableView());
    }
    if (isChanged && before) {
        this->tellNewcomers(number, node, *before);
    }
    if (node.duty->isQuerying() && now >= node.nextQuestion) {
        node.nextQuestion = now + questionInterval;
        this->question(number, node);
    }
    const Member *const suspected = node.duty->suspectedCoordinator();
    const std::optional<Number> asked = suspected != nullptr ? this->numberOf(suspected->session) : std::nullopt;
    if (asked) {
        this->tell(number, *asked, node.duty->claimQuery());
    }
    if (const std::optional<CoordinatorClaim> claim = node.duty->makeClaim()) {
        this->tellAll(number, *claim);
    }
    if (now >= node.nextAsk) {
        node.nextAsk = now + askInterval;
        this->askHolder(number, node);
    }
}

void ElectionNetwork::askHolder(Number number, Node &node)
{
    const Member *const holder = node.duty->coordinator();
    const std::optional<Number> asked = holder != nullptr ? this->numberOf(holder->session) : std::nullopt;
    const bool isCut = asked && this->gossip.isCut && this->gossip.isCut(number, *asked);
    if (holder != nullptr && (!asked || this->paused.contains(*asked) || isCut)) {
        this->suspicion(number, node, *holder);
        return;
    }
    if (!asked || *asked == number) {
        return;
    }
    const Node &other = this->nodes.at(*asked);
    const bool isPassedOn = other.duty->coordinator() != nullptr && other.duty->coordinator()->session != holder->session;
    if (isPassedOn && other.duty->claim()) {
        this->tell(*asked, number, *other.duty->claim());
    }
}

void ElectionNetwork::suspicion(Number number, const Node &node, const Member &holder)
{
    const Member *const successor = node.duty->successor();
    const std::optional<Number> to = successor != nullptr ? this->numberOf(successor->session) : std::nullopt;
    if (!to || (this->gossip.isCut && this->gossip.isCut(number, *to))) {
        return;
    }
    this->gossip.clock.schedule(
        answerTimeout, [this, to, suspicion = CoordinatorSuspicion{dutyName, holder.session, this->gossip.sessionOf(number)}] {
            const auto found = this->nodes.find(*to);
            if (found != this->nodes.end() && !this->paused.contains(*to)) {
                found->second.duty->receiveSuspicion(suspicion);
            }
        });
}

void ElectionNetwork::question(Number number, Node &node)
{
    const std::vector<Member> &members = node.view->members();
    std::uniform_int_distribution<std::size_t> choice(0, members.size() - 1);
    for (std::size_t asked = 0; asked < questionsAtOnce; ++asked) {
        this->tell(number, GossipNetwork::numberOf(members[choice(this->random)].gossip), node.duty->claimQuery());
    }
}

void ElectionNetwork::tellNewcomers(Number number, Node &node, const MemberView &before)
{
    const Member *const holder = node.duty->coordinator();
    if (!node.duty->claim() || holder == nullptr || holder->session != this->gossip.sessionOf(number)) {
        return;
    }
    for (const Member &member : node.view->members()) {
        if (before.find(member.session) == nullptr) {
            this->tell(number, GossipNetwork::numberOf(member.gossip), *node.duty->claim());
        }
    }
}

void ElectionNetwork::tellAll(Number from, const CoordinatorClaim &claim)
{
    for (const Member &member : this->gossip.member(from).view()->members()) {
        this->tell(from, GossipNetwork::numberOf(member.gossip), claim);
    }
}

void ElectionNetwork::tell(Number from, Number to, const CoordinatorClaim &claim)
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
        CoordinatorElection &duty = *found->second.duty;
        if (duty.coordinator() != nullptr && this->numberOf(duty.coordinator()->session) == from) {
            duty.recordCoordinatorAlive();
        }
        if (duty.receive(claim) == CoordinatorElection::ReceiveOutcome::Outdated) {
            this->tell(to, from, *duty.claim());
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
    const std::optional<CoordinatorClaim> &known = this->nodes.at(number).duty->claim();
    const CoordinatorClaim claim{dutyName, known ? known->term + 1 : 1, this->gossip.sessionOf(number)};
    this->nodes.at(number).duty->receive(claim);
    this->tellAll(number, claim);
}

ElectionNetwork::Number ElectionNetwork::coordinator()
{
    return this->named ? this->numberOf(*this->named).value_or(0) : 0;
}

void ElectionNetwork::resetMeasurements()
{
    this->longest.clear();
    this->changeCount = 0;
}

std::size_t ElectionNetwork::countDivergent(std::chrono::milliseconds longerThan) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->longest, [longerThan](const auto &entry) {
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
    std::map<Number, std::optional<SessionNumber>> said;
    std::map<std::optional<SessionNumber>, std::size_t> votes;
    for (const auto &[number, node] : this->nodes) {
        if (!this->paused.contains(number)) {
            const Member *const holder = node.duty->coordinator();
            said[number] = holder != nullptr ? std::optional(holder->session) : std::nullopt;
            ++votes[said[number]];
        }
    }
    const auto most = std::ranges::max_element(votes, {}, [](const auto &vote) {
        return vote.second;
    });
    if (std::exchange(this->named, most->first) != most->first) {
        ++this->changeCount;
    }
    const SteadyTime now = this->gossip.clock.now();
    for (const auto &[number, session] : said) {
        std::optional<SteadyTime> &strays = this->nodes[number].strays;
        if (session == this->named) {
            strays.reset();
            continue;
        }
        strays = strays.value_or(now);
        std::chrono::milliseconds &longest = this->longest[number];
        longest = std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(now - *strays));
    }
}

} // namespace Dogwoodkeel
