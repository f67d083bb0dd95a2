#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/ReachabilityEstimator.h>
#include <LibWorkspace/QuotaClient.h>
#include <LibWorkspace/QuotaCounter.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** Virtual clock that advances from event to event. */
class QuotaTime final : public Clock
{
public:
    SteadyTime now() const override
    {
        return this->time;
    }

    WallTime wallNow() const override
    {
        return {};
    }

    void after(std::chrono::milliseconds delay, std::function<void()> action)
    {
        this->events.emplace(std::pair(this->time + delay, ++this->count), std::move(action));
    }

    void runFor(std::chrono::milliseconds length)
    {
        const SteadyTime end = this->time + length;
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            auto next = this->events.extract(this->events.begin());
            this->time = next.key().first;
            next.mapped()();
        }
        this->time = end;
    }

private:
    SteadyTime time = SteadyTime(std::chrono::hours(1));
    std::uint64_t count = 0;
    std::map<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> events;
};

/**
 * Simulates, in virtual time, nodes that count the requests of one workspace together. The test decides which node is the
 * coordinator. Datagrams are delayed by some milliseconds, and may get lost or arrive twice.
 */
class QuotaFleet
{
public:
    static constexpr std::chrono::milliseconds tickInterval{20};
    /** A counter that received nothing for this long, or was paused for this long, gives up its role. */
    static constexpr std::chrono::milliseconds contactLostAfter{400};

    struct Links
    {
        double lost = 0.01;
        double twice = 0.01;
    };

    QuotaFleet(std::size_t nodes, const QuotaBounds &bounds, const RequestQuota &quota, std::uint64_t seed)
        : quota(quota), bounds(bounds), random(static_cast<std::minstd_rand::result_type>(seed + 1))
    {
        for (std::size_t node = 0; node < nodes; ++node) {
            this->nodes.push_back(std::make_unique<Node>());
        }
        for (std::size_t node = 0; node < nodes; ++node) {
            this->start(node);
        }
    }

    std::size_t size() const
    {
        return this->nodes.size();
    }

    /** Makes all nodes regard this node as the coordinator, and the next one as its successor. */
    void setCoordinator(std::size_t coordinator)
    {
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            this->setCoordinator(node, coordinator);
        }
        this->claim(coordinator);
    }

    void setCoordinator(std::size_t node, std::size_t coordinator)
    {
        Node &updated = *this->nodes[node];
        if (std::exchange(updated.coordinator, coordinator) != coordinator && updated.client) {
            updated.client->handleCoordinatorChange(quotaPartOf(this->workspace));
        }
    }

    /** Gives a node the role by a claim. */
    void claim(std::size_t node)
    {
        this->isAnyClaimed = true;
        this->counterOf(node).confirm();
    }

    /** Hands the role of one node over to another, with the remaining quotas. */
    void handOver(std::size_t from, std::size_t to)
    {
        const std::vector<QuotaLevel> levels = this->counterOf(from).levels();
        this->nodes[from]->counter.reset();
        this->setCoordinator(to);
        this->counterOf(to).restoreLevels(levels);
    }

    /** Disconnects a node from all others, or reconnects it; it still serves callers. */
    void cut(std::size_t node, bool isCut)
    {
        this->nodes[node]->isCut = isCut;
    }

    /** Partitions the fleet into the first nodes, by their number, and the others; 0 ends the partition. */
    void cutInTwo(std::size_t first)
    {
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            this->nodes[node]->side = node < first ? 1 : 0;
        }
    }

    /** Pauses a node, so that it neither sends nor answers, or resumes it. */
    void setFrozen(std::size_t node, bool isFrozen)
    {
        this->nodes[node]->isFrozen = isFrozen;
        if (!isFrozen) {
            this->nodes[node]->counter.reset();
        }
    }

    /** Ends a node; its state in memory is lost. */
    void kill(std::size_t node)
    {
        ++this->nodes[node]->incarnation;
        this->nodes[node]->isRunning = false;
        this->nodes[node]->counter.reset();
        this->nodes[node]->answered.clear();
        this->nodes[node]->client.reset();
    }

    void start(std::size_t node)
    {
        Node &started = *this->nodes[node];
        started.isRunning = true;
        started.isFrozen = false;
        started.received = this->time.now();
        QuotaClient::Hooks hooks{
            .sendQuery =
                [this, node](const CounterQuery &query, QuotaClient::Counter counter) {
                    return this->sendQuery(node, query, counter);
                },
            .suspectCoordinator = [](std::size_t) {},
        };
        started.client = std::make_unique<QuotaClient>(this->time, this->bounds, std::move(hooks));
        started.contact = std::make_unique<ReachabilityEstimator>(this->time, node + 1, [this, node](const Address &other) {
            this->probe(node, other.port);
        });
        std::vector<Address> others;
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            if (other != node) {
                others.push_back({"n", static_cast<std::uint16_t>(other)});
            }
        }
        started.contact->setOthers(std::move(others));
        this->tick(node, started.incarnation);
    }

    void setLimit(const RequestQuota &changed)
    {
        this->quota = changed;
        ++this->version;
    }

    /** Simulates a request of the workspace that arrives at a node. */
    void request(std::size_t node)
    {
        Node &target = *this->nodes[node];
        if (!target.isRunning || target.isFrozen) {
            return;
        }
        ++this->requests;
        target.client->query(this->workspace, this->quota, this->version, [this](const QuotaDecision &decision) {
            if (decision.kind == QuotaDecision::Kind::Granted) {
                this->granted.push_back(this->time.now());
            } else {
                ++(decision.kind == QuotaDecision::Kind::OverLimit ? this->overLimit : this->unknown);
            }
        });
    }

    /** @return the max number of requests that were granted in any window so far. */
    std::size_t maxInWindow() const
    {
        std::size_t max = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->granted.size(); ++last) {
            while (this->granted[last] - this->granted[first] > this->bounds.window) {
                ++first;
            }
            max = std::max(max, last - first + 1);
        }
        return max;
    }

    /** Whether a claim is known to the nodes. */
    bool isAnyClaimed = false;
    QuotaTime time;
    RequestQuota quota;
    Links links;
    std::size_t requests = 0;
    std::vector<SteadyTime> granted;
    std::size_t overLimit = 0;
    std::size_t unknown = 0;

private:
    struct Node
    {
        bool isRunning = false;
        bool isCut = false;
        bool isFrozen = false;
        int side = 0;
        std::uint64_t incarnation = 0;
        /** When it was last connected. */
        SteadyTime received{};
        /** When it last refused a request as a counter. */
        SteadyTime refused{};
        std::size_t coordinator = 0;
        std::unique_ptr<QuotaClient> client;
        std::unique_ptr<QuotaCounter> counter;
        std::unique_ptr<ReachabilityEstimator> contact;
        std::map<std::pair<std::size_t, std::uint64_t>, QuotaDecision> answered;
    };

    bool hasLostContact(const Node &node) const
    {
        return this->time.now() - node.received > contactLostAfter;
    }

    QuotaCounter &counterOf(std::size_t node)
    {
        std::unique_ptr<QuotaCounter> &counter = this->nodes[node]->counter;
        if (!counter) {
            const auto beginning
                = this->isAnyClaimed ? QuotaCounter::StartReason::CoordinatorUnresponsive : QuotaCounter::StartReason::NoClaim;
            counter = std::make_unique<QuotaCounter>(this->time, this->bounds, beginning);
        }
        return *counter;
    }

    void tick(std::size_t node, std::uint64_t incarnation)
    {
        Node &ticked = *this->nodes[node];
        if (!ticked.isRunning || ticked.incarnation != incarnation) {
            return;
        }
        if (!ticked.isFrozen) {
            ticked.received = ticked.isCut ? ticked.received : this->time.now();
            if (this->hasLostContact(ticked)) {
                ticked.counter.reset();
            }
            ticked.client->tick();
            if (ticked.counter) {
                this->measureContact(ticked);
                ticked.counter->removeUnused();
            }
            if (ticked.client->hasRecentAnswer(quotaPartOf(this->workspace))) {
                ticked.client->setNodes(node, this->nodes.size());
            }
        }
        this->time.after(tickInterval, [this, node, incarnation] {
            this->tick(node, incarnation);
        });
    }

    void measureContact(Node &node)
    {
        const bool isPressed = this->time.now() - node.refused < std::chrono::seconds(2);
        node.contact->tick(isPressed ? ReachabilityEstimator::Pace::Fast : ReachabilityEstimator::Pace::Normal);
        if (const std::optional<double> share = node.contact->share()) {
            node.counter->setShare(*share);
        }
    }

    void probe(std::size_t from, std::size_t to)
    {
        this->send(from, to, [this, from, to] {
            this->send(to, from, [this, from, to] {
                this->nodes[from]->contact->receive({"n", static_cast<std::uint16_t>(to)});
            });
        });
    }

    bool sendQuery(std::size_t node, const CounterQuery &query, QuotaClient::Counter counter)
    {
        const std::size_t coordinator = this->nodes[node]->coordinator;
        const std::size_t target
            = counter == QuotaClient::Counter::Coordinator ? coordinator : (coordinator + 1) % this->nodes.size();
        // No node counts before there is a claim.
        if (target == node && (this->hasLostContact(*this->nodes[node]) || !this->isAnyClaimed)) {
            return false;
        }
        if (target == node) {
            this->nodes[node]->client->handleAnswer(query.ticket, this->count(node, node, query));
            return true;
        }
        this->send(node, target, [this, node, target, query] {
            if (!this->isAnyClaimed) {
                return;
            }
            const QuotaDecision decision = this->count(target, node, query);
            this->send(target, node, [this, node, query, decision] {
                this->nodes[node]->client->handleAnswer(query.ticket, decision);
            });
        });
        return true;
    }

    QuotaDecision count(std::size_t counter, std::size_t client, const CounterQuery &query)
    {
        std::map<std::pair<std::size_t, std::uint64_t>, QuotaDecision> &answered = this->nodes[counter]->answered;
        const std::pair id(client * 1000 + this->nodes[client]->incarnation, query.ticket);
        const auto known = answered.find(id);
        if (known != answered.end()) {
            return known->second;
        }
        const QuotaDecision decision = this->counterOf(counter).tryAcquire(query.workspace, query.quota, query.version);
        if (decision.kind == QuotaDecision::Kind::OverLimit) {
            this->nodes[counter]->refused = this->time.now();
        }
        answered.emplace(id, decision);
        return decision;
    }

    void send(std::size_t from, std::size_t to, const std::function<void()> &arrive)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        const int copies = chance(this->random) < this->links.twice ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const bool isApart = this->nodes[from]->side != this->nodes[to]->side;
            if (this->nodes[from]->isCut || this->nodes[to]->isCut || isApart || chance(this->random) < this->links.lost) {
                continue;
            }
            const std::uint64_t incarnation = this->nodes[to]->incarnation;
            std::uniform_int_distribution<int> delay(1, 3);
            this->time.after(std::chrono::milliseconds(delay(this->random)), [this, to, incarnation, arrive] {
                const Node &receiver = *this->nodes[to];
                if (receiver.isRunning && !receiver.isFrozen && receiver.incarnation == incarnation) {
                    arrive();
                }
            });
        }
    }

    WorkspaceName workspace{"w"};
    QuotaBounds bounds;
    std::uint64_t version = 1;
    std::minstd_rand random;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace Dogwoodkeel
