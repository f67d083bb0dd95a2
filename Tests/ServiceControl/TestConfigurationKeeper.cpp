#include <LibBase/ManualClock.h>
#include <LibControl/ConfigurationKeys.h>
#include <LibControl/ConfigurationWriter.h>
#include <Services/Control/ConfigurationKeeper.h>
#include <Tests/Fakes/FaultyPlatform.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr const char *ownFile = "[node]\nvm = \"a\"\nfailure_domain = \"one\"\n[entry]\nentry_count = 64\n";

/** One node's keeper, and the fleet through which it reaches its peers. */
struct Fleet
{
    struct Node
    {
        Node(Fleet &fleet, const Address &address)
            : address(address), platform(fleet.data, fleet.clock), store(platform), keeper(fleet.makeKeeper(*this))
        {
        }

        Address address;
        FaultyPlatform platform;
        ConfigurationStore store;
        std::vector<std::uint64_t> inForce;
        SettingsPointer settings;
        bool isReady = false;
        std::unique_ptr<ConfigurationKeeper> keeper;
    };

    ManualClock clock;
    std::shared_ptr<EmbeddedStore> data = std::make_shared<EmbeddedStore>();
    std::map<Address, std::unique_ptr<Node>> nodes;
    std::set<Address> cutOff;
    std::uint64_t seed = 0;
    bool platformIsDown = false;
    bool goesDownAfterApply = false;

    static Address addressOf(std::uint16_t port)
    {
        return {"127.0.0.1", port};
    }

    Node &start(std::uint16_t port)
    {
        const Address address = addressOf(port);
        this->nodes[address] = std::make_unique<Node>(*this, address);
        Node &node = *this->nodes[address];
        node.platform.setDown(this->platformIsDown);
        node.keeper->start([&node](const SettingsPointer &settings) {
            node.settings = settings;
            node.isReady = true;
            node.keeper->follow();
        });
        return node;
    }

    std::unique_ptr<ConfigurationKeeper> makeKeeper(Node &node)
    {
        ConfigurationKeeper::Options options;
        options.ownFiles = {{"own.toml", ownFile}};
        Findings findings;
        options.ownSettings = std::make_shared<const Settings>(*loadSettings(options.ownFiles, findings));
        ConfigurationKeeper::Hooks hooks;
        hooks.queryPeer = [this, &node](const Address &peer, const auto &answered) {
            this->query<ConfigurationRequest>(node.address, peer, {}, answered);
        };
        hooks.queryPeerForPart = [this, &node](const Address &peer, const std::string &key, const auto &answered) {
            this->query<ConfigurationPartRequest>(node.address, peer, {key}, answered);
        };
        hooks.putInForce = [&node](const SettingsPointer &settings, std::uint64_t, const std::function<void()> &done) {
            node.settings = settings;
            done();
        };
        hooks.onInForce = [&node](std::uint64_t number) {
            node.inForce.push_back(number);
        };
        return std::make_unique<ConfigurationKeeper>(
            node.store, this->clock, this->clock, ++this->seed, std::move(options), std::move(hooks));
    }

    template <typename Request>
    void query(const Address &from,
               const Address &to,
               const Request &request,
               const ConfigurationKeeper::Answered<typename Request::Response> &answered)
    {
        this->clock.schedule(1ms, [this, from, to, request, answered] {
            const auto peer = this->nodes.find(to);
            const bool isReached = peer != this->nodes.end() && !this->cutOff.contains(from) && !this->cutOff.contains(to);
            if (!isReached) {
                answered(std::nullopt);
                return;
            }
            answered(peer->second->keeper->respond(request));
        });
    }

    /** Simplified gossip: every reachable node receives the numbers of all others. */
    void gossip()
    {
        for (const auto &[address, node] : this->nodes) {
            std::vector<ConfigurationKeeper::Peer> peers;
            for (const auto &[other, peer] : this->nodes) {
                if (other != address && !this->cutOff.contains(address) && !this->cutOff.contains(other)) {
                    peers.push_back({other, peer->keeper->inForce()});
                }
            }
            node->keeper->setPeers(std::move(peers));
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += 100ms) {
            this->gossip();
            this->clock.advance(100ms);
        }
    }

    /** Applies an operator's change through one node. */
    ApplyOutcome apply(Node &node, std::uint64_t edited, const std::string &base)
    {
        ConfigurationWriter writer(node.store, this->clock, this->clock, {});
        ApplyOutcome outcome = ApplyOutcome::Unknown;
        const ConfigurationContent content{base, {}};
        writer.apply({edited, "nonce-" + std::to_string(++this->seed), "ana", "", content}, [&](const ApplyResult &result) {
            outcome = result.outcome;
            if (result.outcome == ApplyOutcome::Accepted) {
                if (this->goesDownAfterApply) {
                    this->setPlatformDown(true);
                }
                node.keeper->adopt(result.row, content);
            }
        });
        this->clock.advance(1s);
        return outcome;
    }

    void setPlatformDown(bool isDown)
    {
        this->platformIsDown = isDown;
        for (const auto &[address, node] : this->nodes) {
            node->platform.setDown(isDown);
        }
    }

    bool versionsNeverDecreased() const
    {
        return std::ranges::all_of(this->nodes, [](const auto &entry) {
            return std::ranges::is_sorted(entry.second->inForce);
        });
    }
};

constexpr const char *countFive = "[entry]\nentry_count = 5\n";
constexpr const char *countSix = "[entry]\nentry_count = 6\n";

} // namespace

TEST_CASE("without any version a node works by its own files")
{
    Fleet fleet;
    Fleet::Node &node = fleet.start(1);
    fleet.run(1s);
    CHECK(node.isReady);
    CHECK(node.settings->entry.entryCount == 64);
}

TEST_CASE("a version is in force at every node, with the platform down after the insert")
{
    // The operator receives "accepted" and the platform goes down at once. Only the node that inserted the version has its
    // content. The others must fetch it from that node, or two configurations are in force in the fleet until the platform
    // recovers.
    Fleet fleet;
    Fleet::Node &first = fleet.start(1);
    Fleet::Node &second = fleet.start(2);
    Fleet::Node &third = fleet.start(3);
    fleet.run(1s);
    fleet.goesDownAfterApply = true;
    REQUIRE(fleet.apply(first, 0, countFive) == ApplyOutcome::Accepted);
    fleet.run(2s);
    CHECK(second.settings->entry.entryCount == 5);
    CHECK(third.settings->entry.entryCount == 5);
    CHECK(third.keeper->inForce() == 1);
}

TEST_CASE("a version whose writer died before publishing it is found on the platform")
{
    // The operator gets no answer: the node inserted the row and was killed. The version is accepted, because the
    // platform has it, so it must come into force although gossip does not mention it.
    Fleet fleet;
    fleet.start(1);
    Fleet::Node &second = fleet.start(2);
    fleet.run(1s);
    ConfigurationWriter writer(second.store, fleet.clock, fleet.clock, {});
    writer.apply({0, "lost", "ana", "", {countFive, {}}}, [](const ApplyResult &) {});
    fleet.nodes.erase(Fleet::addressOf(1));
    fleet.run(2s);
    CHECK(second.settings->entry.entryCount == 5);
}

TEST_CASE("a starting node is not ready before the platform has reported the newest version")
{
    // A node had version 2 in force; the other missed it and has version 1. The platform goes down and the first is
    // restarted: it has no stored version, its own file is older still, and the only peer would return it to version 1. Its
    // callers would see a withdrawn configuration again.
    Fleet fleet;
    Fleet::Node &survivor = fleet.start(1);
    Fleet::Node &other = fleet.start(2);
    fleet.run(1s);
    REQUIRE(fleet.apply(survivor, 0, countFive) == ApplyOutcome::Accepted);
    fleet.run(1s);
    survivor.platform.setDown(true);
    fleet.cutOff.insert(survivor.address);
    REQUIRE(fleet.apply(other, 1, countSix) == ApplyOutcome::Accepted);
    REQUIRE(other.keeper->inForce() == 2);
    fleet.nodes.erase(Fleet::addressOf(2));
    fleet.setPlatformDown(true);
    fleet.cutOff.clear();

    Fleet::Node &restarted = fleet.start(2);
    fleet.run(3s);
    CHECK(survivor.keeper->inForce() == 1);
    CHECK(!restarted.isReady);

    fleet.setPlatformDown(false);
    fleet.run(1s);
    REQUIRE(restarted.isReady);
    CHECK(restarted.settings->entry.entryCount == 6);
    CHECK(restarted.inForce == std::vector<std::uint64_t>{2});
}

TEST_CASE("a node that returns from a partition catches up and does not spread its older version")
{
    // A node is cut off from platform and peers for two versions. After it is reconnected, its older number must not spread,
    // and it must skip to the newest.
    Fleet fleet;
    Fleet::Node &first = fleet.start(1);
    Fleet::Node &second = fleet.start(2);
    Fleet::Node &lost = fleet.start(3);
    fleet.run(1s);
    REQUIRE(fleet.apply(first, 0, countFive) == ApplyOutcome::Accepted);
    fleet.run(1s);
    REQUIRE(lost.keeper->inForce() == 1);

    fleet.cutOff.insert(lost.address);
    lost.platform.setDown(true);
    REQUIRE(fleet.apply(second, 1, countSix) == ApplyOutcome::Accepted);
    REQUIRE(fleet.apply(first, 2, countFive) == ApplyOutcome::Accepted);
    fleet.run(3s);
    CHECK(lost.keeper->inForce() == 1);

    fleet.cutOff.clear();
    fleet.run(2s);
    CHECK(lost.keeper->inForce() == 3);
    CHECK(first.keeper->inForce() == 3);
    CHECK(fleet.versionsNeverDecreased());
}

TEST_CASE("a peer that is behind cannot return a node to an older version")
{
    Fleet fleet;
    Fleet::Node &first = fleet.start(1);
    Fleet::Node &second = fleet.start(2);
    fleet.run(1s);
    REQUIRE(fleet.apply(first, 0, countFive) == ApplyOutcome::Accepted);
    REQUIRE(fleet.apply(first, 1, countSix) == ApplyOutcome::Accepted);
    fleet.run(1s);
    ConfigurationRow old{1, "nonce", "ana", "", {}, {}, {}};
    packContent({countFive, {}}, 32768, old);
    second.keeper->adopt(old, {countFive, {}});
    CHECK(second.keeper->row().number == 2);
    second.keeper->setPeers({{first.address, 1}});
    fleet.run(1s);
    CHECK(second.keeper->inForce() == 2);
    CHECK(second.settings->entry.entryCount == 6);
    CHECK(fleet.versionsNeverDecreased());
}

TEST_CASE("a version that does not load here is named as the obstacle, and the one before stays in force")
{
    // Another node runs a newer program and accepted a setting that this one does not know. Failing over to its own
    // files would go below a version seen; it keeps the version in force and reports the reason.
    Fleet fleet;
    Fleet::Node &node = fleet.start(1);
    fleet.run(1s);
    REQUIRE(fleet.apply(node, 0, countFive) == ApplyOutcome::Accepted);
    ConfigurationRow row{2, "nonce", "bruno", "", {}, {}, {}};
    packContent({"[entry]\nfrom_the_future = 1\n", {}}, 32768, row);
    node.store.insert(row, [](WriteOutcome) {});
    fleet.run(3s);
    CHECK(node.keeper->inForce() == 1);
    CHECK(node.keeper->seen() == 2);
    CHECK(node.keeper->obstacle().find("from_the_future") != std::string::npos);
    CHECK(node.settings->entry.entryCount == 5);
}

TEST_CASE("the rate of platform checks does not depend on the number of nodes")
{
    Fleet fleet;
    for (std::uint16_t port = 1; port <= 40; ++port) {
        fleet.start(port);
    }
    fleet.run(20s);
    std::size_t reads = 0;
    for (const auto &[address, node] : fleet.nodes) {
        reads += node->platform.rowReads();
    }
    // 40 nodes that check every 4 s make 200 reads; those of the first seconds, before the peers are known, are added.
    CHECK(reads < 320);
}
