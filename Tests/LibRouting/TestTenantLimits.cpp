#include <LibBase/ManualClock.h>
#include <LibRouting/TenantLimits.h>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace Dogwoodkeel;
using std::chrono::milliseconds;

namespace
{

const WorkspaceName tenant("t");

TenantLimits::LimitOf fixedLimit(double perSecond, double concurrency)
{
    return [=](const WorkspaceName &, LimitClass) {
        return std::optional(RequestLimit{perSecond, concurrency});
    };
}

/** A site of nodes whose demands are told every half second, and one node that splits. */
struct Site
{
    Site(std::size_t count, double perSecond) : splitter(clock, milliseconds(2000)), limit{perSecond, 100000}
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->nodes.push_back(std::make_unique<TenantLimits>(this->clock, milliseconds(3000), fixedLimit(perSecond, 100000)));
            this->nodes.back()->setNodes(count);
        }
    }

    /** @return requests taken in a second's time, with so many a second sent to each node */
    int second(const std::vector<int> &perNode)
    {
        int taken = 0;
        for (int tick = 0; tick < 1000; ++tick) {
            for (std::size_t i = 0; i < perNode.size(); ++i) {
                if (perNode[i] > 0 && tick % (1000 / perNode[i]) == 0 && !this->nodes[i]->admit(tenant, LimitClass::Online)) {
                    this->nodes[i]->release(tenant, LimitClass::Online);
                    ++taken;
                }
            }
            if (tick % 500 == 0) {
                this->exchange();
            }
            this->clock.advance(milliseconds(1));
        }
        return taken;
    }

    void exchange()
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (const TenantDemand &demand : this->nodes[i]->demands()) {
                const RequestLimit share = this->splitter.split(SessionNumber(i + 1), demand, this->limit);
                this->nodes[i]->grant(tenant, LimitClass::Online, share);
            }
        }
    }

    ManualClock clock;
    LimitSplitter splitter;
    RequestLimit limit;
    std::vector<std::unique_ptr<TenantLimits>> nodes;
};

} // namespace

TEST_CASE("a tenant whose callers use three of eleven nodes gets its whole limit, and not more")
{
    // With even shares it would get 27 of its 100 a second: its callers keep their entry answers and stay on three nodes.
    Site site(11, 100);
    const std::vector<int> load{100, 50, 20};
    for (int i = 0; i < 5; ++i) {
        site.second(load);
    }
    const int taken = site.second(load) + site.second(load) + site.second(load);
    CHECK(taken >= 270);
    CHECK(taken <= 330);
}

TEST_CASE("without the node that splits, the even shares hold the limit")
{
    Site site(4, 40);
    int taken = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        for (int request = 0; request < 100; ++request) {
            taken += site.nodes[i]->admit(tenant, LimitClass::Online) ? 0 : 1;
        }
    }
    CHECK(taken == 40);
}

TEST_CASE("concurrency is bounded, and a refusal says when to come back")
{
    ManualClock clock;
    TenantLimits limits(clock, milliseconds(3000), fixedLimit(1000, 2));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    CHECK(limits.admit(tenant, LimitClass::Online).value() > milliseconds(0));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Lookup));
    limits.release(tenant, LimitClass::Online);
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
}

TEST_CASE("a rate refusal tells after which time the next request is taken")
{
    ManualClock clock;
    TenantLimits limits(clock, milliseconds(3000), fixedLimit(2, 100));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    const auto wait = limits.admit(tenant, LimitClass::Online);
    CHECK(wait.value() == milliseconds(500));
    clock.advance(*wait);
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
}

TEST_CASE("nodes far from a limit tell nothing of it")
{
    ManualClock clock;
    TenantLimits limits(clock, milliseconds(3000), fixedLimit(1000, 1000));
    limits.setNodes(10);
    limits.admit(tenant, LimitClass::Online);
    clock.advance(milliseconds(500));
    CHECK(limits.demands().empty());
}
