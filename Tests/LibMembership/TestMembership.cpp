#include <LibBase/ManualClock.h>
#include <LibMembership/Membership.h>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** Members in one process, joined by a network that can cut any of them off. */
struct Network
{
    ManualClock clock;
    std::map<Address, std::unique_ptr<Membership>> members;
    std::set<Address> cut;

    static Address addressOf(std::uint64_t number)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(number)};
    }

    template <typename Message>
    void deliver(const Address &from, const Address &to, const Message &message)
    {
        this->clock.schedule(1ms, [this, from, to, message] {
            if (!this->cut.contains(from) && !this->cut.contains(to) && this->members.contains(to)) {
                this->members.at(to)->receive(from, message);
            }
        });
    }

    Membership &add(std::uint64_t number, const std::vector<Address> &contacts)
    {
        Member self;
        self.session = SessionNumber(number);
        self.gossip = addressOf(number);
        const Address own = self.gossip;
        Membership::Hooks hooks{
            .sendPing =
                [this, own](const Address &to, const Ping &ping) {
                    this->deliver(own, to, ping);
                },
            .sendPong =
                [this, own](const Address &to, const Pong &pong) {
                    this->deliver(own, to, pong);
                },
            .sendPingRequest =
                [this, own](const Address &to, const PingRequest &request) {
                    this->deliver(own, to, request);
                },
            .onChange = [](const MemberViewPointer &) {},
        };
        auto &member = this->members[own];
        member = std::make_unique<Membership>(this->clock, this->clock, Membership::Options(), self, number, std::move(hooks));
        member->start(contacts);
        return *member;
    }
};

} // namespace

TEST_CASE("nodes that know one contact learn of all")
{
    Network network;
    for (std::uint64_t number = 1; number <= 11; ++number) {
        network.add(number, {Network::addressOf(1)});
    }
    network.clock.advance(5s);
    for (const auto &[address, member] : network.members) {
        CHECK(member->view()->members().size() == 11);
    }
}

TEST_CASE("a node that falls silent is dead to all others after the suspicion time, and refutes when it is back")
{
    Network network;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        network.add(number, {Network::addressOf(1)});
    }
    network.clock.advance(3s);
    network.cut.insert(Network::addressOf(3));
    network.clock.advance(6s);
    CHECK(network.members.at(Network::addressOf(1))->view()->find(SessionNumber(3)) == nullptr);
    network.cut.clear();
    network.members.at(Network::addressOf(3))->contact({Network::addressOf(1)});
    network.clock.advance(6s);
    CHECK(network.members.at(Network::addressOf(1))->view()->find(SessionNumber(3)) != nullptr);
}

TEST_CASE("losing one member moves only what it owned")
{
    std::vector<Member> members;
    for (std::uint64_t number = 1; number <= 11; ++number) {
        Member &member = members.emplace_back();
        member.session = SessionNumber(number);
    }
    const MemberView before(members);
    members.erase(members.begin() + 4);
    const MemberView after(members);
    std::size_t moved = 0;
    for (std::uint32_t shard = 0; shard < 256; ++shard) {
        const SessionNumber owner = before.ownerOf(ShardNumber(shard))->session;
        if (owner == SessionNumber(5)) {
            ++moved;
            continue;
        }
        CHECK(after.ownerOf(ShardNumber(shard))->session == owner);
    }
    CHECK(moved > 0);
}
