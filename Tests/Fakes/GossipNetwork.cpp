#include <Tests/Fakes/GossipNetwork.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint16_t port = 7946;
constexpr std::chrono::milliseconds latency{1};

} // namespace

/** One node: its membership, and the timers and datagrams that are queued while it is paused. */
struct GossipNetwork::Node final : Scheduler, std::enable_shared_from_this<GossipNetwork::Node>
{
    explicit Node(ManualClock &clock) : clock(clock)
    {
    }

    TimerId schedule(std::chrono::milliseconds delay, std::function<void()> action) override
    {
        const TimerId id = ++this->lastTimer;
        this->timers[id] = this->clock.schedule(delay, [self = this->weak_from_this(), id, action = std::move(action)] {
            if (const auto node = self.lock()) {
                node->run(id, action);
            }
        });
        return id;
    }

    void cancel(TimerId id) override
    {
        const auto found = this->timers.extract(id);
        if (!found.empty()) {
            this->clock.cancel(found.mapped());
        }
    }

    void run(TimerId id, const std::function<void()> &action)
    {
        if (this->isPaused) {
            this->queuedTimers.push_back([this, id, action] {
                this->run(id, action);
            });
        } else if (this->timers.erase(id) > 0) {
            action();
        }
    }

    ManualClock &clock;
    std::map<TimerId, TimerId> timers;
    TimerId lastTimer = 0;
    bool isPaused = false;
    std::deque<std::function<void()>> queuedTimers;
    std::deque<std::function<void()>> queuedDatagrams;
    std::unique_ptr<Membership> membership;
    SessionNumber session;
};

GossipNetwork::GossipNetwork(Membership::Options options, std::uint64_t seed) : options(options), random(seed)
{
}

GossipNetwork::~GossipNetwork() = default;

Address GossipNetwork::addressOf(Number number)
{
    return {"10.0." + std::to_string(number / 256) + '.' + std::to_string(number % 256), port};
}

GossipNetwork::Number GossipNetwork::numberOf(const Address &address)
{
    const std::size_t dot = address.ip.rfind('.');
    const std::size_t before = address.ip.rfind('.', dot - 1);
    return std::stoull(address.ip.substr(before + 1, dot - before - 1)) * 256 + std::stoull(address.ip.substr(dot + 1));
}

template <typename Message>
void GossipNetwork::deliver(Number from, const Address &to, const Message &message)
{
    this->bytes += encode(message).size() + overheadPerDatagram;
    ++this->datagrams;
    const Number target = numberOf(to);
    const bool isLost = std::bernoulli_distribution(this->loss)(this->random);
    if (isLost || (this->isCut && this->isCut(from, target))) {
        return;
    }
    this->clock.schedule(latency, [this, from, target, message] {
        const auto found = this->nodes.find(target);
        if (found == this->nodes.end()) {
            return;
        }
        const auto node = found->second;
        const auto read = [node, from, message] {
            node->membership->receive(addressOf(from), message);
        };
        if (node->isPaused) {
            node->queuedDatagrams.push_back(read);
        } else {
            read();
        }
    });
}

Membership::Hooks GossipNetwork::hooksOf(Number number)
{
    const auto send = [this, number](const Address &to, const auto &message) {
        this->deliver(number, to, message);
    };
    return {
        .sendPing = send,
        .sendPong = send,
        .sendPingRequest = send,
        .sendPull = send,
        .sendPush = send,
        .onChange =
            [this, number](const MemberViewPointer &view) {
                if (this->onView) {
                    this->onView(number, *view);
                }
            },
        .onLeavingVms = [](const std::vector<VmName> &) {},
        .onSessionLost =
            [this, number] {
                Node &node = *this->nodes.at(number);
                node.session = SessionNumber(this->nextSession++);
                node.membership->renew(node.session);
            },
    };
}

Membership &GossipNetwork::add(Number number, const std::vector<Number> &contacts)
{
    return this->add(number, contacts, SessionNumber(number));
}

Membership &GossipNetwork::add(Number number, const std::vector<Number> &contacts, SessionNumber session)
{
    Member self;
    self.session = session;
    self.vm = VmName("entry-" + std::to_string(number));
    self.failureDomain = FailureDomain("domain-" + std::to_string(number % 7));
    self.gossip = addressOf(number);
    self.http = self.owner = self.lane = self.gossip;
    self.isReady = true;
    self.processorShare = this->processorShareOf ? this->processorShareOf(number) : 0;
    self.isRelay = !this->isRelay || this->isRelay(number);
    const auto node = std::make_shared<Node>(this->clock);
    node->session = session;
    node->membership
        = std::make_unique<Membership>(this->clock, *node, this->options, self, this->random(), this->hooksOf(number));
    this->nodes[number] = node;
    std::vector<Address> addresses;
    std::ranges::transform(contacts, std::back_inserter(addresses), addressOf);
    node->membership->start(addresses);
    return *node->membership;
}

void GossipNetwork::kill(Number number)
{
    this->nodes.erase(number);
}

void GossipNetwork::pause(Number number)
{
    this->nodes.at(number)->isPaused = true;
}

void GossipNetwork::resume(Number number)
{
    const auto node = this->nodes.at(number);
    node->isPaused = false;
    for (const auto &action : std::exchange(node->queuedTimers, {})) {
        action();
    }
    for (const auto &read : std::exchange(node->queuedDatagrams, {})) {
        read();
    }
}

Membership &GossipNetwork::member(Number number)
{
    return *this->nodes.at(number)->membership;
}

bool GossipNetwork::isRunning(Number number) const
{
    return this->nodes.contains(number);
}

std::vector<GossipNetwork::Number> GossipNetwork::running() const
{
    std::vector<Number> numbers;
    for (const auto &[number, node] : this->nodes) {
        numbers.push_back(number);
    }
    return numbers;
}

SessionNumber GossipNetwork::sessionOf(Number number) const
{
    return this->nodes.at(number)->session;
}

bool GossipNetwork::sees(Number number, const std::vector<Number> &members)
{
    std::set<SessionNumber> expected;
    for (const Number member : members) {
        expected.insert(this->isRunning(member) ? this->sessionOf(member) : SessionNumber(member));
    }
    const std::vector<Member> &seen = this->member(number).view()->members();
    return expected.size() == members.size() && std::ranges::equal(seen, expected, {}, &Member::session);
}

bool GossipNetwork::isConverged()
{
    const std::vector<Number> all = this->running();
    return std::ranges::all_of(all, [this, &all](Number number) {
        return this->sees(number, all);
    });
}

} // namespace Dogwoodkeel
