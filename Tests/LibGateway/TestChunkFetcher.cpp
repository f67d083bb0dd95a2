#include <LibBase/ManualClock.h>
#include <LibGateway/ChunkFetcher.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t requestBytes = 100;

std::string textOf(std::size_t bytes, unsigned int seed = 1)
{
    std::minstd_rand random(seed);
    std::string text;
    while (text.size() < bytes) {
        text += std::to_string(random()) + ',';
    }
    return text;
}

/** A link of a VM in one direction: what is sent over it arrives in order, at a limited rate. */
class Link
{
public:
    Link(ManualClock &clock, double bytesPerSecond) : clock(clock), bytesPerSecond(bytesPerSecond)
    {
    }

    void send(std::size_t bytes, std::function<void()> arrived)
    {
        const std::chrono::duration<double> took(static_cast<double>(bytes) / this->bytesPerSecond);
        this->freeAt = std::max(this->freeAt, this->clock.now()) + std::chrono::duration_cast<std::chrono::nanoseconds>(took);
        this->sent += bytes;
        const auto delay = std::chrono::ceil<std::chrono::milliseconds>(this->freeAt - this->clock.now());
        this->clock.schedule(delay, std::move(arrived));
    }

    std::size_t sent = 0;

private:
    ManualClock &clock;
    double bytesPerSecond;
    SteadyTime freeAt{};
};

/** A node with chunks, and links of its own. */
class Node
{
public:
    Node(ManualClock &clock, std::map<Address, Node *> &network, std::uint16_t number, double bytesPerSecond)
        : address{"10.0.0.1", number}
        , up(clock, bytesPerSecond)
        , down(clock, bytesPerSecond)
        , network(network)
        , fetcher(clock,
                  this->store,
                  number,
                  {.request =
                       [this](const Address &to, const ChunkRequest &request, auto, const ChunkFetcher::Answered &answered) {
                           this->request(to, request, answered);
                       },
                   .otherSources =
                       [this] {
                           return this->others;
                       }})
    {
        network[this->address] = this;
    }

    void request(const Address &to, const ChunkRequest &request, const ChunkFetcher::Answered &answered)
    {
        ++this->requests;
        Node &other = *this->network.at(to);
        if (other.isSilent) {
            return;
        }
        this->up.send(requestBytes, [this, &other, request, answered] {
            const auto answer = std::make_shared<ChunkAnswer>();
            std::size_t bytes = requestBytes;
            for (const std::uint64_t digest : request.digests) {
                const std::string *const content = other.store.find(digest);
                answer->chunks.push_back(content != nullptr ? *content : std::string());
                bytes += answer->chunks.back().size();
            }
            other.up.send(bytes, [this, answer, bytes, answered] {
                this->down.send(bytes, [answer, answered] {
                    answered(answer.get());
                });
            });
        });
    }

    void fetch(const TextOutline &outline, const Address &source)
    {
        this->fetcher.fetch(outline, source, [this](const std::optional<std::string> &text) {
            this->received.push_back(text);
        });
    }

    Address address;
    Link up;
    Link down;
    std::map<Address, Node *> &network;
    ChunkStore store;
    bool isSilent = false;
    std::size_t requests = 0;
    std::vector<Address> others;
    std::vector<std::optional<std::string>> received;
    ChunkFetcher fetcher;
};

class Network
{
public:
    Node &add(double bytesPerSecond)
    {
        const auto number = static_cast<std::uint16_t>(this->nodes.size() + 1);
        this->nodes.push_back(std::make_unique<Node>(this->clock, this->network, number, bytesPerSecond));
        return *this->nodes.back();
    }

    ManualClock clock;
    std::map<Address, Node *> network;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace

TEST_CASE("a text is fetched in chunks, and without a request if all are known")
{
    Network network;
    Node &source = network.add(1e6);
    Node &node = network.add(1e6);
    const std::string text = textOf(100'000);
    const TextOutline outline = source.store.put("a", text);
    node.fetch(outline, source.address);
    network.clock.advance(1s);
    CHECK((node.received == std::vector<std::optional<std::string>>{text}));
    node.store.put("a", text);
    const std::size_t before = node.requests;
    node.fetch(outline, source.address);
    network.clock.advance(1s);
    CHECK(node.received.size() == 2);
    CHECK(node.requests == before);
}

// Guards against copies of a configuration that hold each other up: eighteen nodes with links of 22 Mbit/s, behind a relay with
// one of 75 Mbit/s. Sent as a whole, a copy takes longer than a call may.
TEST_CASE("a large text is sent once to each of many nodes, whatever each of them requests meanwhile")
{
    Network network;
    Node &relay = network.add(75e6 / 8);
    const std::string text = textOf(800'000);
    const TextOutline outline = relay.store.put("a", text);
    for (int number = 0; number < 18; ++number) {
        network.add(22e6 / 8).fetch(outline, relay.address);
    }
    // The same text is requested again and again, as by a follower that repeats its call.
    for (int repetition = 0; repetition < 50; ++repetition) {
        network.clock.advance(100ms);
        for (const auto &node : network.nodes) {
            if (node.get() != &relay && node->received.empty()) {
                node->fetch(outline, relay.address);
            }
        }
    }
    for (const auto &node : network.nodes) {
        if (node.get() != &relay) {
            REQUIRE_FALSE(node->received.empty());
            CHECK((node->received.front() == text));
            CHECK(node->down.sent < text.size() * 11 / 10);
        }
    }
    CHECK(relay.up.sent < 18 * text.size() * 11 / 10);
}

TEST_CASE("chunks come from other nodes that have them, too")
{
    Network network;
    Node &source = network.add(1e6);
    Node &other = network.add(1e6);
    Node &node = network.add(1e6);
    const std::string text = textOf(400'000);
    const TextOutline outline = source.store.put("a", text);
    other.store.put("a", text);
    node.others = {other.address};
    node.fetch(outline, source.address);
    network.clock.advance(2s);
    CHECK((node.received == std::vector<std::optional<std::string>>{text}));
    CHECK(source.up.sent > text.size() / 4);
    CHECK(other.up.sent > text.size() / 4);
}

// Guards against a node that keeps an old configuration because its relay has died.
TEST_CASE("a fetch from a silent node fails, and the next one goes on where it stopped")
{
    Network network;
    Node &first = network.add(1e6);
    Node &second = network.add(1e6);
    Node &node = network.add(1e6);
    const std::string text = textOf(400'000);
    const TextOutline outline = first.store.put("a", text);
    second.store.put("a", text);
    node.fetch(outline, first.address);
    network.clock.advance(200ms);
    CHECK(node.received.empty());
    first.isSilent = true;
    network.clock.advance(600ms);
    CHECK((node.received == std::vector<std::optional<std::string>>{std::nullopt}));
    node.fetch(outline, second.address);
    network.clock.advance(2s);
    CHECK((node.received.back() == text));
    CHECK(second.up.sent < text.size());
}

// Guards against a text that never arrives on a link that is full: each chunk is late, but none is in vain.
TEST_CASE("chunks that arrive late are kept for the next attempt")
{
    Network network;
    Node &source = network.add(1e6);
    Node &node = network.add(20e3);
    const std::string text = textOf(60'000);
    const TextOutline outline = source.store.put("a", text);
    int attempts = 0;
    while (attempts < 20 && (node.received.empty() || !node.received.back())) {
        node.fetch(outline, source.address);
        ++attempts;
        network.clock.advance(1s);
    }
    CHECK((node.received.back() == text));
    CHECK(node.down.sent < 2 * text.size());
}

TEST_CASE("the newest of two texts is fetched first")
{
    Network network;
    Node &source = network.add(1e5);
    Node &node = network.add(1e5);
    const std::string older = textOf(100'000, 1);
    const std::string newer = textOf(100'000, 2);
    const TextOutline olderOutline = source.store.put("a", older);
    const TextOutline newerOutline = source.store.put("b", newer);
    node.fetch(olderOutline, source.address);
    node.fetch(newerOutline, source.address);
    network.clock.advance(5s);
    CHECK((node.received == std::vector<std::optional<std::string>>{newer, older}));
}

// Guards against an outline that claims more memory than a node has.
TEST_CASE("an outline of an excessive size is refused")
{
    Network network;
    Node &node = network.add(1e6);
    TextOutline outline{1, {}};
    outline.chunks.resize(100, {1, 1'000'000});
    node.fetch(outline, node.address);
    network.clock.advance(1s);
    CHECK((node.received == std::vector<std::optional<std::string>>{std::nullopt}));
    CHECK(node.requests == 0);
}
